package barleyspur.admin;

import barleyspur.admin.http.HttpAnswer;
import barleyspur.admin.http.HttpRequest;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/**
 * The administration API's calls by method and path. A path that no route has is a 404; a path that one has under
 * another method is a 405 with {@code Allow} (RFC 9110 section 15.5.6). Routes are exact paths; calls of later parts
 * (tenants, settings) come as further paths under {@code /admin/}.
 */
public final class Routes {

    /** What answers a call; it runs on the event loop and must not wait. */
    @FunctionalInterface
    public interface Handler {
        /** The answer to a request. */
        HttpAnswer answer(HttpRequest request);
    }

    private record Route(String method, String path, Handler handler) {}

    private final List<Route> routes;

    private Routes(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    /** Routes are put together here, then fixed. */
    public static final class Builder {
        private final List<Route> routes = new ArrayList<>();

        /** Adds the handler of a method on a path. */
        public Builder add(String method, String path, Handler handler) {
            for (Route r : routes) {
                if (r.method.equals(method) && r.path.equals(path)) {
                    throw new IllegalArgumentException("route " + method + " " + path + " is there already");
                }
            }
            routes.add(new Route(method, path, handler));
            return this;
        }

        /** The routes that were added. */
        public Routes build() {
            return new Routes(routes);
        }
    }

    /** A builder without routes. */
    public static Builder builder() {
        return new Builder();
    }

    /** The answer to one call. */
    public HttpAnswer answer(HttpRequest request) {
        String path = request.path();
        TreeSet<String> allowed = new TreeSet<>();
        for (Route r : routes) {
            if (r.path.equals(path)) {
                if (r.method.equals(request.method())) {
                    return r.handler.answer(request);
                }
                allowed.add(r.method);
            }
        }
        if (allowed.isEmpty()) {
            return HttpAnswer.problem(404, "no call " + path);
        }
        return HttpAnswer.problem(405, path + " is called by " + String.join(", ", allowed))
                .with("Allow", String.join(", ", allowed));
    }
}
