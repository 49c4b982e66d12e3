// Case 11: an entry of another writer puts a sound server out of use for good.
//
// One gateway and two services with one server each. A config adds a route to the second service; both routes are served. The disruption: another
// writer registers an entry at the address of the second server, for a service that no config names. It is removed again after 6 s.

#include "../standins-3.h"

using namespace Review;

namespace
{

std::mutex mutex;
std::map<std::string, int> runs; ///< By id of the request.

/// A sound server with the id \p name.
void handleServer(int descriptor, const std::string &name)
{
    Reader reader(descriptor);
    while (const auto request = reader.next()) {
        const std::string expected = request->field("Carobhall-Expect-Instance");
        std::string response;
        if (!expected.empty() && expected != name) {
            response = "HTTP/1.1 421 Misdirected Request\r\n" + fieldsOfAnswer(*request) + "Carobhall-Instance-Id: " + name + "\r\nContent-Length: 0\r\n\r\n";
        } else if (request->target() == "/health") {
            response = "HTTP/1.1 200 OK\r\nCarobhall-Instance-Id: " + name + "\r\nContent-Length: 0\r\n\r\n";
        } else {
            {
                const std::lock_guard lock(mutex);
                ++runs[request->field("Carobhall-Request-Id")];
            }
            sleepFor(0.03);
            response = answer(*request, 200, "served by " + name);
        }
        if (!sendAll(descriptor, response)) {
            return;
        }
    }
}

int call(std::uint16_t port, const std::string &path, const std::string &id)
{
    const int descriptor = connectTo("127.0.0.1", port);
    if (descriptor < 0) {
        return 0;
    }
    sendAll(descriptor,
            "GET " + path + " HTTP/1.1\r\nHost: h.example\r\nCarobhall-Request-Id: " + id + "\r\nCarobhall-Deadline-Ms: 3000\r\n\r\n");
    const auto response = Reader(descriptor).next(now() + 3);
    close(descriptor);
    return response ? response->status() : 0;
}

std::string configSpec(int version, bool withLaterRoute)
{
    const auto route = [](const std::string &name, const std::string &service) {
        return "{\"name\":\"" + name + "\",\"host\":\"h.example\",\"pathPrefix\":\"/" + name + "/\",\"service\":\"" + service
            + "\",\"kind\":\"idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":200,\"priority\":2,\"maxAttempts\":2}";
    };
    const auto service = [](const std::string &name) { return "{\"name\":\"" + name + "\",\"healthPath\":\"/health\",\"maxConnections\":110}"; };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":[" + route("lookup", "office") + (withLaterRoute ? "," + route("stamp", "stamps") : "")
        + "],\"services\":[" + service("office") + "," + service("stamps")
        + "],\"tenants\":[],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":20000}}";
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 3) {
        return 2;
    }
    Record record(std::string(argv[2]) + "/record.txt");
    Store store;
    const std::uint16_t officePort = serve("127.0.0.1", 0, [](int descriptor) { handleServer(descriptor, "i-office"); });
    const std::uint16_t stampsPort = serve("127.0.0.1", 0, [](int descriptor) { handleServer(descriptor, "i-stamps"); });
    const std::string stampsAddress = "127.0.0.1:" + std::to_string(stampsPort);
    store.put("servers", "i-office", serverSpec("office", "127.0.0.1:" + std::to_string(officePort)));
    store.put("servers", "i-stamps", serverSpec("stamps", stampsAddress));
    store.put("config", "main", configSpec(3, false));
    Node gateway("gateway", "front-1", store, argv[1], 110);
    gateway.start();
    if (!gateway.waitUntilReady(10)) {
        return 2;
    }
    sleepFor(4.5);
    store.put("config", "main", configSpec(7, true));
    record.line("config 7 is acknowledged: it adds the route /stamp/ to the service stamps");
    // configApplyMs.
    sleepFor(2.5);
    int sent = 0;
    std::map<std::string, std::map<int, int>> statuses;
    const auto send = [&](double seconds) {
        std::map<std::string, std::map<int, int>> phase;
        for (const double end = now() + seconds; now() < end; sleepFor(0.02)) {
            for (const std::string route : { "lookup", "stamp" }) {
                const std::string id = "r" + std::to_string(++sent);
                const int status = call(gateway.port, "/" + route + "/x", id);
                ++phase[route][status];
                ++statuses[route][status];
                const std::lock_guard lock(mutex);
                record.line("request %s on /%s/: %d, run %d times", id.c_str(), route.c_str(), status, runs[id]);
            }
        }
        for (const auto &[route, counts] : phase) {
            for (const auto &[status, count] : counts) {
                record.line("SUM: /%s/: %d answers %d", route.c_str(), count, status);
            }
        }
    };
    send(1.5);
    if (hasTrouble()) {
        store.put("servers", "exporter-1", serverSpec("stamps-exporter", stampsAddress));
        record.line("another writer registers exporter-1 at %s for a service that no config names", stampsAddress.c_str());
    }
    send(6.0);
    if (hasTrouble()) {
        store.remove("servers", "exporter-1");
        record.line("the entry exporter-1 is removed");
    }
    send(10.0);
    const int direct = call(stampsPort, "/stamp/x", "direct");
    record.line("the server of the service stamps, asked directly: %d", direct);
    if (gateway.hasEnded()) {
        record.line("the gateway has ended by itself");
        return 2;
    }
    gateway.kill();
    const auto shareOf = [&](const std::string &route) {
        int all = 0;
        for (const auto &[status, count] : statuses[route]) {
            all += count;
        }
        return std::pair(all, all == 0 ? 0.0 : static_cast<double>(statuses[route][200]) / all);
    };
    const auto [firstCount, firstShare] = shareOf("lookup");
    const auto [laterCount, laterShare] = shareOf("stamp");
    record.line("first route: %.3f of %d served; route that was added later: %.3f of %d served", firstShare, firstCount, laterShare, laterCount);
    std::printf("first route: %.3f of %d served; route that was added later: %.3f of %d served\n", firstShare, firstCount, laterShare, laterCount);
    std::fflush(stdout);
    std::_Exit(laterCount >= 20 && laterShare < firstShare / 4 ? 1 : 0);
}
