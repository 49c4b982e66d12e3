// MIXED: a server crashes in the middle of an answer that has no length, before it has read a long request to its end.
//
//     reset_answer            the case
//     reset_answer server IP:PORT ID   one server process

#include "../standins.h"

using namespace Review;

namespace
{

constexpr int Servers = 4;
constexpr int Requests = 4;
constexpr int Lines = 40; ///< Of the whole answer. A server that crashes has sent half of them.
constexpr std::size_t RequestBytes = 4'100'000;

std::string answerLines(const std::string &id, int first, int last)
{
    std::string text;
    for (int line = first; line <= last; ++line) {
        text += "receipt " + id + ", line " + std::to_string(line) + " of " + std::to_string(Lines) + "\n";
    }
    return text;
}

/// A sound server: it answers before it has read the whole request, sends an answer that ends with its channel and reads the rest of the
/// request meanwhile. What happens in between is up to who kills it.
[[noreturn]] void runServer(std::string address, const std::string &instance)
{
    const int listener = listenAt(address, 16384);
    serve(listener, [instance](int descriptor) {
        std::string buffer;
        HttpHead head;
        while (readHead(descriptor, buffer, head)) {
            if (head.path() == "/health") {
                sendAll(descriptor, "HTTP/1.1 200 OK\r\nCarobhall-Instance-Id: " + instance + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const std::string id = head.field("carobhall-request-id");
            const std::size_t length = std::stoul("0" + head.field("content-length"));
            std::printf("server %s runs %s, which has %zu bytes\n", instance.c_str(), id.c_str(), length);
            sendAll(descriptor,
                    "HTTP/1.1 200 OK\r\nCarobhall-Request-Id: " + id + "\r\nCarobhall-Server-Seal: seal-" + id + "\r\nConnection: close\r\n\r\n"
                        + answerLines(id, 1, Lines / 2));
            std::printf("server %s has sent half of its answer to %s\n", instance.c_str(), id.c_str());
            std::fflush(stdout);
            sleepFor(1.0);
            sendAll(descriptor, answerLines(id, Lines / 2 + 1, Lines));
            std::string body;
            if (readSized(descriptor, buffer, length, body)) {
                std::printf("server %s has sent its whole answer to %s and read the whole request\n", instance.c_str(), id.c_str());
                std::fflush(stdout);
            }
            shutdown(descriptor, SHUT_WR);
            char rest[4096];
            while (recv(descriptor, rest, sizeof(rest), 0) > 0) { }
            break;
        }
        close(descriptor);
    });
    for (;;) {
        pause();
    }
}

bool contains(const std::string &path, const std::string &text)
{
    std::ifstream file(path);
    std::stringstream all;
    all << file.rdbuf();
    return all.str().find(text) != std::string::npos;
}

void noteLog(const std::string &path)
{
    std::ifstream lines(path);
    for (std::string line; std::getline(lines, line);) {
        note("  from its log: %s", line.c_str());
    }
}

/// Status of the answer; 0: the channel ended before it was complete.
int post(const std::string &gateway, const std::string &id, std::string &body, std::string &seal)
{
    const int descriptor = connectTo(gateway);
    const std::string head = "POST /forms/" + id + " HTTP/1.1\r\nHost: desk.example\r\nCarobhall-Request-Id: " + id
        + "\r\nCarobhall-Deadline-Ms: 10000\r\nAuthorization: Bearer key-one\r\nContent-Length: " + std::to_string(RequestBytes) + "\r\n\r\n";
    if (descriptor < 0 || !sendAll(descriptor, head + std::string(RequestBytes, 'x'))) {
        return 0;
    }
    std::string buffer;
    HttpHead answer;
    int status = 0;
    if (readHead(descriptor, buffer, answer) && readSized(descriptor, buffer, std::stoul("0" + answer.field("content-length")), body)) {
        status = answer.status();
        seal = answer.field("carobhall-server-seal");
    }
    close(descriptor);
    return status;
}

int runAll()
{
    const Folder folder;
    Store &store = startStore();
    store.put("config", "main",
              configJson(1, routeJson({ .name = "forms", .prefix = "/forms/", .service = "kit-desk", .kind = "non_idempotent" }),
                         R"({"name":"kit-desk","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false})",
                         R"({"name":"one","apiKeys":["key-one"],"priority":1,"isolated":false})"));
    NodeOptions options{ .name = "front-1", .callerAddress = freePort("127.0.0.1"), .readinessAddress = freePort("127.0.0.1") };
    options.peerPort = portOf(freePort("127.0.0.1"));
    options.platformAddress = store.address();
    const auto gateway = startNode("gateway", options, folder.path());
    struct Server {
        std::string instance;
        std::string log;
        std::unique_ptr<Program> program;
    };
    std::vector<Server> servers;
    int boots = 0;
    const auto startServer = [&] {
        const std::string instance = "i-" + std::to_string(++boots);
        const std::string address = freePort("127.0.0.1");
        const std::string log = folder.path() + "/" + instance + ".log";
        servers.push_back({ instance, log,
                            std::make_unique<Program>(std::vector<std::string>{ "/proc/self/exe", "server", address, instance },
                                                      std::map<std::string, std::string>{}, log) });
        sleepFor(0.3);
        store.put("servers", instance, serverJson("kit-desk", address, 6));
    };
    for (int i = 0; i < Servers; ++i) {
        startServer();
    }
    sleepFor(1.0);
    if (!waitReady(options.readinessAddress)) {
        note("the gateway is not ready");
        return 2;
    }
    int broken = 0;
    for (int number = 1; number <= Requests; ++number) {
        const std::string id = "form-" + std::to_string(number);
        note("client sends %s, %zu bytes", id.c_str(), RequestBytes);
        std::size_t crashed = servers.size();
        std::thread killer([&] {
            for (const double end = seconds() + 5.0; hasTrouble() && seconds() < end && crashed == servers.size(); sleepFor(0.01)) {
                for (std::size_t i = 0; i < servers.size(); ++i) {
                    if (contains(servers[i].log, "sent half of its answer to " + id)) {
                        sleepFor(0.2);
                        note("server %s crashes (SIGKILL)", servers[i].instance.c_str());
                        servers[i].program->signal(SIGKILL);
                        crashed = i;
                        return;
                    }
                }
            }
        });
        std::string body;
        std::string seal;
        const int status = post(options.callerAddress, id, body, seal);
        killer.join();
        const std::string whole = answerLines(id, 1, Lines);
        note("client gets for %s: status %d, seal '%s', %zu of the %zu bytes of the answer", id.c_str(), status, seal.c_str(), body.size(), whole.size());
        const bool isSuccess = status >= 200 && status < 300;
        if (isSuccess && (seal.empty() || body != whole)) {
            note("MIXED broken: a success with a body that isn't the server's whole body");
            ++broken;
        }
        if (!hasTrouble() && !isSuccess) {
            note("without trouble there was no answer");
            return 2;
        }
        if (crashed < servers.size()) {
            const std::string instance = servers[crashed].instance;
            noteLog(servers[crashed].log);
            servers.erase(servers.begin() + static_cast<std::ptrdiff_t>(crashed));
            sleepFor(3.0);
            store.remove("servers", instance);
            startServer();
            sleepFor(1.0);
        }
    }
    for (const Server &server : servers) {
        noteLog(server.log);
    }
    note("%d of %d requests broke the rule", broken, Requests);
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    if (argc == 4 && std::string(argv[1]) == "server") {
        runServer(argv[2], argv[3]);
    }
    runCase(runAll);
}
