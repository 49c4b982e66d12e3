// WALL: a tenant becomes isolated; other tenants go on to use the KV cache that its requests have made.

#include "../engine.h"

using namespace Review;

namespace
{

constexpr int Gateways = 2;
constexpr int Engines = 2;
constexpr double ConfigApply = 2.5;

int run()
{
    const Folder folder;
    Store &store = startStore();
    std::mutex mutex;
    bool isIsolated = false;
    int broken = 0;
    int used = 0;
    const auto tenants = [](bool isolated) {
        return std::string(R"({"name":"clinic","apiKeys":["key-clinic"],"priority":1,"isolated":)") + (isolated ? "true" : "false")
            + R"(},{"name":"shop","apiKeys":["key-shop"],"priority":1,"isolated":false})";
    };
    const std::string route = routeJson({ .name = "chat",
                                          .prefix = "/chat/",
                                          .service = "chat",
                                          .kind = "streaming",
                                          .more = R"("maxAttempts":2,"authExempt":false,"sessionAffinity":true,"resumable":true,"targetGapMs":400)" });
    store.put("config", "main", configJson(1, route, engineServiceJson("chat", "m0"), tenants(false)));
    store.put("versions", "m0", R"({"model":"m0","version":1})");
    const std::string peerPort = portOf(freePort("127.0.0.1"));
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Program>> programs;
    for (int i = 1; i <= Engines; ++i) {
        const std::string ip = "127.0.11." + std::to_string(i);
        engines.push_back(std::make_unique<Engine>(EngineOptions{ .id = "i-" + std::to_string(i),
                                                                  .service = "chat",
                                                                  .model = "m0",
                                                                  .ip = ip,
                                                                  .store = &store,
                                                                  .isNamed = [](std::uint64_t version) { return version == 1; },
                                                                  .onPartUsed =
                                                                      [&](const HttpHead &head, const std::string &part, const std::string &maker) {
                                                                          const std::string tenant = head.field("carobhall-tenant");
                                                                          const std::lock_guard lock(mutex);
                                                                          ++used;
                                                                          if (tenant == maker) {
                                                                              return;
                                                                          }
                                                                          note("%s of %s uses part %s, which a request of %s has made (salt %s)",
                                                                               head.field("carobhall-request-id").c_str(), tenant.c_str(), part.c_str(),
                                                                               maker.c_str(), head.field("carobhall-cache-salt").c_str());
                                                                          broken += isIsolated ? 1 : 0;
                                                                      } }));
        NodeOptions options{ .name = "side-" + std::to_string(i), .ip = ip };
        options.engineAddress = engines.back()->address();
        options.engineService = "chat";
        options.peerPort = peerPort;
        options.platformAddress = store.address();
        programs.push_back(startNode("sidecar", options, folder.path()));
    }
    std::vector<std::string> gateways;
    for (int i = 1; i <= Gateways; ++i) {
        NodeOptions options{ .name = "front-" + std::to_string(i), .callerAddress = freePort("127.0.0.1"), .readinessAddress = freePort("127.0.0.1") };
        options.peerPort = peerPort;
        options.platformAddress = store.address();
        programs.push_back(startNode("gateway", options, folder.path()));
        gateways.push_back(options.callerAddress);
        if (!waitReady(options.readinessAddress)) {
            note("a gateway is not ready");
            return 2;
        }
    }
    sleepFor(1.0);
    int number = 0;
    const auto send = [&](const std::string &tenant, int count) {
        int served = 0;
        for (int i = 0; i < count; ++i) {
            const std::string id = tenant + "-" + std::to_string(++number);
            served += prompt(gateways[static_cast<std::size_t>(i) % gateways.size()], id, "/chat/x", "m0",
                             "c1:900,c2:700," + std::to_string(1000 + number) + ":40", "key-" + tenant)
                    == 200
                ? 1
                : 0;
            sleepFor(0.05);
        }
        note("%d of %d requests of %s are served", served, count, tenant.c_str());
        return served == count;
    };
    bool isServed = send("clinic", 8);
    if (hasTrouble()) {
        store.put("config", "main", configJson(2, route, engineServiceJson("chat", "m0"), tenants(true)));
        note("the operator's config 2, in which the tenant clinic is isolated, is acknowledged");
        sleepFor(ConfigApply + 1.0);
        const std::lock_guard lock(mutex);
        isIsolated = true;
    } else {
        sleepFor(ConfigApply + 1.0);
    }
    isServed = send("clinic", 4) && isServed;
    isServed = send("shop", 8) && isServed;
    programs.clear();
    if (!isServed || used == 0) {
        note("requests were not served");
        return 2;
    }
    note("%d uses of parts across the wall of an isolated tenant", broken);
    return broken > 0 ? 1 : 0;
}

} // namespace

int main()
{
    runCase(run);
}
