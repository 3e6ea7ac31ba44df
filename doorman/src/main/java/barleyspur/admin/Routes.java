package barleyspur.admin;

import barleyspur.admin.http.HttpRequest;
import barleyspur.admin.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The routes of the administration API by method and exact path, all below {@code /admin/}. An unknown path results in
 * a 404; a known path with another method results in a 405 with {@code Allow} (RFC 9110 section 15.5.6).
 */
public final class Routes {

    /** Handles the requests of a route; runs on the event loop and must not block. */
    @FunctionalInterface
    public interface Handler {
        /** Returns the response to a request. */
        HttpResponse handle(HttpRequest request);
    }

    private record Route(String method, String path, Handler handler) {}

    private final List<Route> routes;

    private Routes(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    /** Collects routes for an immutable {@link Routes}. */
    public static final class Builder {
        private final List<Route> routes = new ArrayList<>();

        /** Adds the handler for a method and path; a second one for the same pair is rejected. */
        public Builder add(String method, String path, Handler handler) {
            for (Route route : routes) {
                if (route.method.equals(method) && route.path.equals(path)) {
                    throw new IllegalArgumentException("route " + method + " " + path + " is already defined");
                }
            }
            routes.add(new Route(method, path, handler));
            return this;
        }

        /** Returns the routes that were added. */
        public Routes build() {
            return new Routes(routes);
        }
    }

    /** Returns a builder without routes. */
    public static Builder builder() {
        return new Builder();
    }

    /** Returns the response to a request. */
    public HttpResponse handle(HttpRequest request) {
        String path = request.path();
        TreeSet<String> allowed = new TreeSet<>();
        for (Route route : routes) {
            if (route.path.equals(path)) {
                if (route.method.equals(request.method())) {
                    return route.handler.handle(request);
                }
                allowed.add(route.method);
            }
        }
        if (allowed.isEmpty()) {
            return HttpResponse.error(404, "no call " + path);
        }
        return HttpResponse.error(405, path + " is called by " + String.join(", ", allowed))
                .withHeader("Allow", String.join(", ", allowed));
    }
}
