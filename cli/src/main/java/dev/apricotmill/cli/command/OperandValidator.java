package dev.apricotmill.cli.command;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Refuses an operand that looks like an option, so that a misspelt option is not a file. */
public final class OperandValidator implements IParameterValidator {
  @Override
  public void validate(String name, String value) {
    if (value.startsWith("-")) {
      throw new ParameterException("unknown option " + value);
    }
  }
}
