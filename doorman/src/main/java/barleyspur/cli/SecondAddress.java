package barleyspur.cli;

import barleyspur.config.Configuration;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.json.JSONException;
import org.json.JSONObject;

/** Reads from the administration address of a running doorman, for commands that show its state. */
final class SecondAddress {

    private static final Duration PATIENCE = Duration.ofSeconds(3);

    private SecondAddress() {}

    /** Returns the option that names the administration address. */
    static Option option() {
        return Command.value(
                "admin",
                "ADDRESS",
                "the doorman's administration address, such as 127.0.0.1:9101; default: the variable RELAY_MGMT");
    }

    /** Returns the URI of a path at the address that the option or the variable RELAY_MGMT names. */
    static URI uri(CommandLine line, String path) throws Command.Unusable {
        String address = line.getOptionValue("admin", System.getenv().getOrDefault("RELAY_MGMT", ""));
        try {
            Configuration.address("--admin", address);
        } catch (IllegalArgumentException e) {
            throw Command.Unusable.line(
                    "neither --admin nor the variable RELAY_MGMT is an address with a port: '" + address + "'");
        }
        return URI.create("http://" + address + path);
    }

    /**
     * Returns the JSON object at {@code uri}.
     *
     * @param missing the error message for status 404, to follow the doorman's address
     */
    static JSONObject get(URI uri, String missing) throws IOException {
        try {
            HttpResponse<String> answer = HttpClient.newBuilder()
                    .connectTimeout(PATIENCE)
                    .build()
                    .send(HttpRequest.newBuilder(uri).timeout(PATIENCE).build(), HttpResponse.BodyHandlers.ofString());
            if (answer.statusCode() == 404) {
                throw new IOException("the doorman at " + uri.getAuthority() + " " + missing);
            }
            if (answer.statusCode() != 200) {
                throw new IOException(uri + " returned status " + answer.statusCode() + ": "
                        + answer.body().strip());
            }
            return new JSONObject(answer.body());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        } catch (JSONException e) {
            throw new IOException(uri + " did not return JSON: " + e.getMessage(), e);
        } catch (IOException e) {
            throw e.getMessage() != null && e.getMessage().contains(uri.getAuthority())
                    ? e
                    : new IOException("no response from " + uri.getAuthority() + ": " + e, e);
        }
    }
}
