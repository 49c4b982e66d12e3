// CONFIG: new weights of one model are named; the servers of another model are not used any more.

#include "../engine.h"

using namespace Review;

namespace
{

constexpr int Gateways = 2;
constexpr int Engines = 2; ///< Of each service.
constexpr double ConfigApply = 2.5;
constexpr double VersionTime = 8.0; ///< versionMs.

int run()
{
    const Folder folder;
    Store &store = startStore();
    std::mutex namedMutex;
    std::map<std::string, std::uint64_t> named{ { "m0", 1 }, { "m1", 1 } };
    const auto name = [&](const std::string &model, std::uint64_t version) {
        {
            const std::lock_guard lock(namedMutex);
            named[model] = version;
        }
        store.put("versions", model, R"({"model":")" + model + R"(","version":)" + std::to_string(version) + "}");
        note("the operator names version %llu of %s", static_cast<unsigned long long>(version), model.c_str());
    };
    const std::string tenants = R"({"name":"one","apiKeys":["key-one"],"priority":1,"isolated":false})";
    const std::string more = R"("maxAttempts":2,"authExempt":false,"sessionAffinity":true,"resumable":true,"targetGapMs":400)";
    const std::string first = routeJson({ .name = "first", .prefix = "/first/", .service = "chat", .kind = "streaming", .more = more });
    const std::string later = routeJson({ .name = "later", .prefix = "/later/", .service = "review", .kind = "streaming", .more = more });
    store.put("config", "main", configJson(1, first, engineServiceJson("chat", "m0"), tenants));
    name("m0", 1);
    const std::string peerPort = portOf(freePort("127.0.0.1"));
    std::vector<std::unique_ptr<Engine>> engines;
    std::vector<std::unique_ptr<Program>> programs;
    const auto startEngines = [&](const std::string &service, const std::string &model) {
        for (int i = 1; i <= Engines; ++i) {
            const std::string ip = "127.0.11." + std::to_string(engines.size() + 1);
            engines.push_back(std::make_unique<Engine>(EngineOptions{ .id = "i-" + service + "-" + std::to_string(i),
                                                                      .service = service,
                                                                      .model = model,
                                                                      .ip = ip,
                                                                      .store = &store,
                                                                      .isNamed = [&, model](std::uint64_t version) {
                                                                          const std::lock_guard lock(namedMutex);
                                                                          return version <= named[model];
                                                                      } }));
            NodeOptions options{ .name = "side-" + service + "-" + std::to_string(i), .ip = ip };
            options.engineAddress = engines.back()->address();
            options.engineService = service;
            options.peerPort = peerPort;
            options.platformAddress = store.address();
            programs.push_back(startNode("sidecar", options, folder.path()));
        }
    };
    startEngines("chat", "m0");
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
    int number = 0;
    struct Share {
        int sent = 0;
        int served = 0;
    };
    const auto play = [&](const std::string &path, const std::string &model, int count, double pause) {
        Share share;
        std::map<int, int> statuses;
        for (int i = 0; i < count; ++i) {
            const std::string id = path.substr(1, 5) + "-" + std::to_string(++number);
            const int status = prompt(gateways[static_cast<std::size_t>(i) % gateways.size()], id, path + "x", model,
                                      "aa:300,bb:200," + std::to_string(number) + ":400", "key-one");
            ++share.sent;
            share.served += status == 200 ? 1 : 0;
            ++statuses[status];
            sleepFor(pause);
        }
        std::string text;
        for (const auto &[status, times] : statuses) {
            text += " " + std::to_string(status) + " x" + std::to_string(times);
        }
        note("%d requests on %s:%s", share.sent, path.c_str(), text.c_str());
        return share;
    };
    sleepFor(1.0);
    (void)play("/first/", "m0", 20, 0.02);
    note("the operator adds a service with servers of the model m1, and a route to it");
    name("m1", 1);
    startEngines("review", "m1");
    store.put("config", "main", configJson(2, first + "," + later, engineServiceJson("chat", "m0") + "," + engineServiceJson("review", "m1"), tenants));
    sleepFor(ConfigApply + 1.0);
    (void)play("/first/", "m0", 20, 0.02);
    const Share before = play("/later/", "m1", 20, 0.02);
    if (before.served < before.sent) {
        note("the added route is not served before the disruption");
        return 2;
    }
    if (hasTrouble()) {
        name("m0", 5);
    }
    sleepFor(VersionTime + 2.0);
    Share firstShare;
    Share laterShare;
    for (int round = 0; round < 4; ++round) {
        const Share one = play("/first/", "m0", 20, 0.05);
        const Share other = play("/later/", "m1", 20, 0.05);
        firstShare = { firstShare.sent + one.sent, firstShare.served + one.served };
        laterShare = { laterShare.sent + other.sent, laterShare.served + other.served };
        sleepFor(2.0);
    }
    for (const auto &engine : engines) {
        note("a server has version %llu", static_cast<unsigned long long>(engine->version()));
    }
    const double firstRate = static_cast<double>(firstShare.served) / firstShare.sent;
    const double laterRate = static_cast<double>(laterShare.served) / laterShare.sent;
    note("served: %.2f on the first route, %.2f on the one that was added", firstRate, laterRate);
    const bool isBroken = laterRate < firstRate / 4.0;
    if (isBroken) {
        note("CONFIG broken: 20 or more requests on a route that was added later, served less than a quarter as often as those on the first");
    }
    programs.clear();
    return isBroken ? 1 : 0;
}

} // namespace

int main()
{
    runCase(run);
}
