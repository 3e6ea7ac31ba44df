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
final class AdminClient {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);

    private AdminClient() {}

    /** Returns the option that names the administration address. */
    static Option option() {
        return Command.option(
                "admin",
                "ADDRESS",
                "the doorman's administration address, such as 127.0.0.1:9101; default: the variable RELAY_MGMT");
    }

    /** Returns the URI of a path at the address that the option or the variable RELAY_MGMT names. */
    static URI uri(CommandLine line, String path) throws Command.InvalidInputException {
        String address = line.getOptionValue("admin", System.getenv().getOrDefault("RELAY_MGMT", ""));
        try {
            Configuration.parseAddress("--admin", address);
        } catch (IllegalArgumentException e) {
            throw Command.InvalidInputException.commandLine(
                    "neither --admin nor the variable RELAY_MGMT is an address with a port: '" + address + "'");
        }
        return URI.create("http://" + address + path);
    }

    /**
     * Returns the JSON object at {@code uri}.
     *
     * @param notFoundMessage the error message for status 404, to follow the doorman's address
     */
    static JSONObject get(URI uri, String notFoundMessage) throws IOException {
        try {
            HttpResponse<String> response = HttpClient.newBuilder()
                    .connectTimeout(TIMEOUT)
                    .build()
                    .send(HttpRequest.newBuilder(uri).timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofString());
            if (response.statusCode() == 404) {
                throw new IOException("the doorman at " + uri.getAuthority() + " " + notFoundMessage);
            }
            if (response.statusCode() != 200) {
                throw new IOException(uri + " returned status " + response.statusCode() + ": "
                        + response.body().strip());
            }
            return new JSONObject(response.body());
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
