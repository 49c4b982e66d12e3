// Case 10: a server crashes under prompts in many parts, and then a part crashes each server. See claim.txt.

#include "../standins-2.h"

using namespace Review;

namespace
{

constexpr int Engines = 7;
constexpr int Gateways = 2;
constexpr double DownTime = 2.0;      ///< From a crash on the part until the server is back.
constexpr double FirstDownTime = 1.0; ///< The same for the crash before.
constexpr double RecordTime = 3.6;    ///< Three reports of 1.2 s: then the store removes the record of a server that crashed.
constexpr int LongRequests = 10;        ///< Long prompts for each server.
constexpr std::size_t LongParts = 575;  ///< Of a dossier: 6,300 + 2,890 tokens in blocks of 16.
constexpr int FirstCrashes = 2;         ///< Servers that crash at first, of seven.
constexpr double DeadlyInterval = 1.0;
constexpr double DeadlyTime = 22.0;
constexpr double SoundInterval = 0.05;  ///< Of sound short requests: one in twenty on the route has the deadly part.
constexpr double StabilityWindow = 4.0; ///< stabilityWindowMs.
constexpr int CrashesToKnow = 5;        ///< After the fifth crash and the stability window,
constexpr int MostLater = 3;            ///< at most three more requests with the part may reach servers.

std::uint16_t peerPort = 0;
Store store;
std::atomic<int> crashes = 0;
std::mutex eventsMutex;
std::vector<double> deadlyCrashes;  ///< When a server crashed on the part.
std::vector<double> deadlyArrivals; ///< When a request with it reached a server.

struct Engine {
    std::string ip;
    std::string address;
    std::uint16_t port = 0;
    std::atomic<int> boots = 0;
    std::unique_ptr<Server> server;
    std::atomic<bool> crashing = false;
    std::atomic<int> running = 0; ///< Long requests.
    std::int64_t born = 1'780'000'000'000;

    [[nodiscard]] std::string id() const
    {
        return "i-" + ip.substr(ip.rfind('.') + 1) + "-" + std::to_string(boots);
    }
    void start()
    {
        ++boots;
        born += 10'000;
        crashing = false;
        running = 0;
        server = std::make_unique<Server>();
        if (!server->start(ip, port, [this](int connection) { serve(connection); })) {
            record.line("engine %s cannot listen", ip.c_str());
            finish(2);
        }
        address = server->address();
        port = static_cast<std::uint16_t>(std::stoi(address.substr(address.rfind(':') + 1)));
        store.put("servers", id(),
                  "{\"service\":\"advice\",\"address\":\"" + address + "\",\"zone\":\"zagreb-a\",\"version\":\"1\",\"slots\":96,\"state\":\"ready\","
                      + "\"coldRemainingMs\":0,\"sequence\":1,\"born\":" + std::to_string(born)
                      + ",\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}");
    }
    void crash(const std::string &request, double downTime = DownTime)
    {
        if (crashing.exchange(true)) {
            return;
        }
        ++crashes;
        record.line("server %s crashes on %s", id().c_str(), request.c_str());
        std::thread([this, old = id(), downTime] {
            server->crash();
            std::thread([old] {
                sleepSeconds(RecordTime);
                store.remove("servers", old);
            }).detach();
            sleepSeconds(downTime);
            // The old object is not destroyed: threads of its connections may still run.
            (void)server.release();
            start();
            record.line("server %s is back", id().c_str());
        }).detach();
    }
    void serve(int connection)
    {
        std::string input;
        for (;;) {
            Message request;
            if (readMessage(connection, input, request, seconds() + 300) != 1) {
                return;
            }
            const std::string target = request.word(1);
            const std::string birth = std::to_string(born);
            if (target == "/-/report") {
                writeAll(connection,
                         jsonResponse(200, "{\"stage\":\"prefill_decode\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,"
                                           "\"sequence\":0,\"queued\":0,\"running\":0,\"kvUsed\":0,\"kvTotal\":83645,\"handles\":0,\"born\":"
                                          + birth + "}"));
                continue;
            }
            if (target.starts_with("/-/kv-events")) {
                sleepSeconds(0.8);
                writeAll(connection,
                         jsonResponse(200, "{\"bootEpoch\":" + std::to_string(boots) + ",\"nextToken\":0,\"lost\":false,\"events\":[]}"));
                continue;
            }
            const std::string requestId = request.field("Carobhall-Request-Id");
            const std::string sealed = "Carobhall-Request-Id: " + requestId + "\r\nCarobhall-Server-Seal: s." + requestId + "\r\n";
            if (request.field("Carobhall-Expect-Instance") != id()) {
                writeAll(connection, response(421, "Carobhall-Request-Id: " + requestId + "\r\nCarobhall-Instance-Id: " + id() + "\r\n", {}));
                continue;
            }
            const bool isLong = request.body.starts_with("long");
            const bool isDeadly = request.field("Carobhall-Prompt-Prefix").find("dead0001") != std::string::npos;
            if (isDeadly) {
                const std::lock_guard lock(eventsMutex);
                deadlyArrivals.push_back(seconds());
            }
            running += isLong ? 1 : 0;
            sleepSeconds(isLong ? 1.0 : 0.05);
            running -= isLong ? 1 : 0;
            if (isDeadly) {
                {
                    const std::lock_guard lock(eventsMutex);
                    deadlyCrashes.push_back(seconds());
                }
                crash(requestId);
                return;
            }
            std::string stream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + sealed + "\r\n";
            for (int i = 1; i <= 3; ++i) {
                const std::string event = "id: " + std::to_string(i) + "\ndata: token\n\n";
                char size[16] = {};
                std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
                stream += size + event + "\r\n";
            }
            writeAll(connection, stream + "0\r\n\r\n");
        }
    }
};

void serveOffice(int connection)
{
    std::string input;
    for (;;) {
        Message request;
        if (readMessage(connection, input, request, seconds() + 300) != 1) {
            return;
        }
        sleepSeconds(0.03);
        const std::string id = request.field("Carobhall-Request-Id");
        writeAll(connection, response(200, "Carobhall-Request-Id: " + id + "\r\nCarobhall-Server-Seal: s." + id + "\r\n", std::string(800, 'x')));
    }
}

std::string configuration()
{
    return R"({"version":1,"routes":[)"
           R"({"name":"dossier","host":"h.example","pathPrefix":"/dossier/","kind":"streaming","timeoutMs":5000,"targetLatencyMs":1500,"priority":2,"service":"advice","maxAttempts":1,"authExempt":false,"sessionAffinity":true,"resumable":false,"targetGapMs":400},)"
           R"({"name":"ask","host":"h.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":15000,"targetLatencyMs":500,"priority":0,"service":"advice","maxAttempts":2,"authExempt":false,"sessionAffinity":true,"resumable":true,"targetGapMs":400},)"
           R"({"name":"book","host":"h.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":200,"priority":2,"service":"office","maxAttempts":1,"authExempt":false,"sessionAffinity":false,"resumable":false}],)"
           R"("services":[{"name":"advice","healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacityTokens":83645,"tokenKvBytes":262144,"linkMbps":550000.0,"stride":4,"maxConcurrent":12,"models":[{"name":"m"}]}},)"
           R"({"name":"office","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],)"
           R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
           R"("tenants":[{"name":"t","apiKeys":["key-1"],"priority":1,"isolated":false}]})";
}

std::string idText()
{
    static std::atomic<std::uint64_t> last = 0x1000;
    return "00000000" + hexText(++last);
}

std::string requestText(const std::string &method, const std::string &path, const std::string &id, int deadlineMs, const std::string &fields,
                        const std::string &body)
{
    return method + " " + path + " HTTP/1.1\r\nHost: h.example\r\nCarobhall-Request-Id: " + id + "\r\nCarobhall-Deadline-Ms: " + std::to_string(deadlineMs)
        + "\r\nAuthorization: Bearer key-1\r\n" + fields + (method == "POST" ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

/// The fields of a dossier, in blocks of 16 tokens. No two are alike.
std::string longPrompt(std::size_t &parts)
{
    static std::atomic<std::uint64_t> last = 0x5c1e0000;
    std::string prefix;
    for (parts = 0; parts < LongParts; ++parts) {
        prefix += (prefix.empty() ? "" : ",") + hexText(++last) + ":16";
    }
    return "Carobhall-Model: m\r\nCarobhall-Token-Count: " + std::to_string(parts * 16) + ",73\r\nCarobhall-Prompt-Prefix: " + prefix + "\r\n";
}

} // namespace

int main(int argc, char **argv)
{
    begin(argc, argv, 115);
    const bool trouble = withTrouble();
    std::vector<std::string> engineIps;
    std::vector<std::string> gatewayIps;
    for (int i = 1; i <= Engines; ++i) {
        engineIps.push_back("127.0.10." + std::to_string(i));
    }
    for (int i = 1; i <= Gateways; ++i) {
        gatewayIps.push_back("127.0.10." + std::to_string(100 + i));
    }
    std::vector<std::string> allIps = engineIps;
    allIps.insert(allIps.end(), gatewayIps.begin(), gatewayIps.end());
    peerPort = freePort(allIps);
    const std::uint16_t metricsPort = freePort(allIps);
    const std::uint16_t callerPort = freePort(gatewayIps);
    const std::uint16_t readyPort = freePort(gatewayIps);
    if (!store.start("127.0.10.200")) {
        finish(2);
    }
    store.put("config", "main", configuration());
    std::vector<std::unique_ptr<Engine>> engines;
    for (const std::string &ip : engineIps) {
        engines.push_back(std::make_unique<Engine>());
        engines.back()->ip = ip;
        engines.back()->start();
    }
    std::vector<std::unique_ptr<Server>> offices;
    for (int i = 0; i < 3; ++i) {
        offices.push_back(std::make_unique<Server>());
        offices.back()->start("127.0.10." + std::to_string(50 + i), 0, serveOffice);
        store.put("servers", "office-" + std::to_string(i),
                  "{\"service\":\"office\",\"address\":\"" + offices.back()->address()
                      + "\",\"zone\":\"zagreb-a\",\"version\":\"1\",\"slots\":6,\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":1,\"born\":1780000000000}");
    }
    for (int i = 0; i < Engines; ++i) {
        startNode("sidecar", "side-" + std::to_string(i),
                  settings({ .name = "side-" + std::to_string(i),
                             .ip = engineIps[i],
                             .platform = store.address(),
                             .peerPort = peerPort,
                             .metricsPort = metricsPort,
                             .engine = engines[i]->address,
                             .service = "advice",
                             .memoryMb = 192 }),
                  temporaryDirectory);
    }
    std::vector<pid_t> gateways;
    std::vector<std::string> callers;
    for (int i = 0; i < Gateways; ++i) {
        callers.push_back(gatewayIps[i] + ":" + std::to_string(callerPort));
        gateways.push_back(startNode("gateway", "front-" + std::to_string(i),
                                     settings({ .name = "front-" + std::to_string(i),
                                                .ip = gatewayIps[i],
                                                .platform = store.address(),
                                                .peerPort = peerPort,
                                                .metricsPort = metricsPort,
                                                .caller = callers.back(),
                                                .readiness = gatewayIps[i] + ":" + std::to_string(readyPort) }),
                                     temporaryDirectory));
    }
    for (int i = 0; i < Gateways; ++i) {
        if (!waitReady(gatewayIps[i] + ":" + std::to_string(readyPort), 10)) {
            record.line("gateway %d is not ready", i);
            finish(2);
        }
    }
    sleepSeconds(4.5); // Longer than stabilityWindowMs: the machines are in touch.

    std::atomic<bool> stop = false;
    std::vector<std::thread> threads;
    // Sound short requests, twenty a second. They share their caller and their first part with those that have the deadly part.
    std::atomic<int> asked = 0;
    std::atomic<int> askServed = 0;
    std::atomic<int> askCut = 0;
    threads.emplace_back([&] {
        std::vector<std::thread> sent;
        for (int n = 0; !stop; ++n) {
            sent.emplace_back([&, n] {
                const std::string fields = "Carobhall-Model: m\r\nCarobhall-Token-Count: 826,73\r\nCarobhall-Prompt-Prefix: aa01:198," + hexText(0x900000 + n)
                    + ":628\r\n";
                ++asked;
                const Answer answer = ask(callers[n % Gateways], requestText("POST", "/ask/q", idText(), 15000, fields, "short " + std::to_string(n)), 8.0);
                askServed += answer.status == 200 ? 1 : 0;
                askCut += answer.status == 502 || answer.status == 0 ? 1 : 0;
            });
            sleepSeconds(SoundInterval);
        }
        for (std::thread &thread : sent) {
            thread.join();
        }
    });
    sleepSeconds(1);
    // Long prompts run at the servers; the one with most of them crashes.
    std::size_t parts = 0;
    for (int i = 0; i < LongRequests * Engines; ++i) {
        const std::string fields = longPrompt(parts);
        threads.emplace_back([&, i, fields] {
            const Answer answer = ask(callers[i % Gateways], requestText("POST", "/dossier/q", idText(), 5000, fields, "long " + std::to_string(i)), 6.0);
            record.line("long request %d: status %d after %.2f s", i, answer.status, answer.at - answer.sentAt);
        });
    }
    record.line("%d long prompts of %zu parts sent, trouble %d", LongRequests * Engines, parts, trouble);
    sleepSeconds(0.5);
    std::vector<Engine *> byLoad;
    for (const auto &engine : engines) {
        byLoad.push_back(engine.get());
    }
    std::ranges::sort(byLoad, [](const Engine *a, const Engine *b) { return a->running > b->running; });
    for (int i = 0; i < FirstCrashes; ++i) {
        record.line("server %s runs %d long requests", byLoad[i]->id().c_str(), byLoad[i]->running.load());
        if (trouble) {
            byLoad[i]->crash("no request: it crashes by itself", FirstDownTime);
        }
    }
    sleepSeconds(7);
    // Requests with the part that crashes each server that begins to write an answer on it, no two alike, at any machine.
    const double from = seconds();
    for (int n = 0; seconds() - from < DeadlyTime; ++n) {
        threads.emplace_back([&, n] {
            const std::string fields = "Carobhall-Model: m\r\nCarobhall-Token-Count: 926,73\r\nCarobhall-Prompt-Prefix: aa01:198,dead0001:100,"
                + hexText(0xb00000 + n) + ":628\r\n";
            const Answer answer = ask(callers[n % Gateways], requestText("POST", "/ask/q", idText(), 15000, fields, "deadly " + std::to_string(n)), 8.0);
            record.line("deadly request %d: status %d after %.2f s", n, answer.status, answer.at - answer.sentAt);
        });
        sleepSeconds(DeadlyInterval);
    }
    stop = true;
    for (std::thread &thread : threads) {
        thread.join();
    }
    const std::lock_guard lock(eventsMutex);
    std::ranges::sort(deadlyCrashes);
    int later = 0;
    if (deadlyCrashes.size() >= CrashesToKnow) {
        const double known = deadlyCrashes[CrashesToKnow - 1] + StabilityWindow;
        later = static_cast<int>(std::ranges::count_if(deadlyArrivals, [known](double at) { return at > known; }));
    }
    record.line("crashes on the part %zu, arrivals of it %zu, of these %d later than the stability window after the fifth crash; sound requests %d, served %d, "
                "ended with 502 or cut %d",
                deadlyCrashes.size(), deadlyArrivals.size(), later, asked.load(), askServed.load(), askCut.load());
    record.line("%s", later > MostLater ? "BUDGET broken: more than three requests with the part reached servers" : "BUDGET held");
    finish(later > MostLater ? 1 : 0);
}
