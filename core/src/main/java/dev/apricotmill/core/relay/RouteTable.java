package dev.apricotmill.core.relay;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import com.google.common.collect.Multimaps;
import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;

/** Finds the route of a request by its host and the longest prefix of its path. */
public final class RouteTable {

  private final ImmutableListMultimap<String, Route> longestFirstByHost;

  /** Creates a table of {@code routes}. */
  public RouteTable(Collection<Route> routes) {
    ImmutableList<Route> longestFirst =
        ImmutableList.sortedCopyOf(
            Comparator.comparingInt((Route route) -> route.pathPrefix().length()).reversed(),
            routes);
    longestFirstByHost = Multimaps.index(longestFirst, Route::host);
  }

  /** Returns the route of a request to {@code path}; a query string is ignored. */
  public Optional<Route> find(String host, String path) {
    int query = path.indexOf('?');
    String plainPath = query < 0 ? path : path.substring(0, query);
    return longestFirstByHost.get(host).stream()
        .filter(route -> plainPath.startsWith(route.pathPrefix()))
        .findFirst();
  }

  /** Returns all routes. */
  public ImmutableList<Route> routes() {
    return longestFirstByHost.values().asList();
  }
}
