#include "agent_harness.h"

#include <glib/gstdio.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>

namespace Carobhall::Testing
{

namespace
{

constexpr const char *FleetKey = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";
constexpr std::uint64_t AmpleCredit = std::uint64_t{ 1 } << 30U;
constexpr std::uint64_t TestSalt = 17;

std::string writeTemporary(const std::string &text)
{
    char *path = nullptr;
    const int file = g_file_open_tmp("carobhall-XXXXXX", &path, nullptr);
    if (file < 0) {
        g_error("cannot create a temporary file");
    }
    g_close(file, nullptr);
    std::string name(path);
    g_free(path);
    std::ofstream(name) << text;
    return name;
}

} // namespace

void runFor(Micros time)
{
    runUntil([] { return false; }, time);
}

// Program -----------------------------------------------------------------------------------------

struct Program::Output {
    ObjectRef<GSubprocess> process;
    std::string text;
    bool ended = false;

    static void onRead(GObject *source, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<std::shared_ptr<Output>> holder(static_cast<std::shared_ptr<Output> *>(data));
        const std::unique_ptr<GBytes, decltype(&g_bytes_unref)> bytes(g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, nullptr),
                                                                      &g_bytes_unref);
        gsize size = 0;
        const auto *const start = bytes == nullptr ? nullptr : static_cast<const char *>(g_bytes_get_data(bytes.get(), &size));
        if (size == 0) {
            (*holder)->ended = true;
            return;
        }
        (*holder)->text.append(start, size);
        read(*holder);
    }

    static void read(const std::shared_ptr<Output> &self)
    {
        constexpr gsize readBytes = 4096;
        g_input_stream_read_bytes_async(g_subprocess_get_stdout_pipe(self->process.get()), readBytes, G_PRIORITY_DEFAULT, nullptr, &Output::onRead,
                                        new std::shared_ptr<Output>(self));
    }
};

Program::Program(const std::string &name, std::vector<std::string> arguments, std::string announcement)
    : output_(std::make_shared<Output>())
    , announcement_(std::move(announcement))
{
    const char *const directory = std::getenv("CAROBHALL_BIN");
    arguments.insert(arguments.begin(), std::string(directory == nullptr ? "build/bin" : directory) + "/" + name);
    std::vector<const char *> argv(arguments.size() + 1, nullptr);
    std::transform(arguments.begin(), arguments.end(), argv.begin(), [](const std::string &argument) { return argument.c_str(); });
    const auto flags = static_cast<GSubprocessFlags>(G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE);
    output_->process.reset(g_subprocess_newv(argv.data(), flags, nullptr));
    if (output_->process == nullptr) {
        g_error("cannot start %s", argv.front());
    }
    Output::read(output_);
    if (!runUntil([&] { return port() != 0; })) {
        g_error("%s did not start listening; its output: %s", argv.front(), output_->text.c_str());
    }
}

Program::~Program()
{
    kill();
}

void Program::kill()
{
    g_subprocess_force_exit(output_->process.get());
    runUntil([&] { return output_->ended; });
}

bool Program::isAlive() const
{
    return !output_->ended;
}

std::uint16_t Program::port() const
{
    const std::size_t at = output_->text.find(announcement_);
    const std::size_t end = output_->text.find_first_of(" \n", at + announcement_.size());
    if (at == std::string::npos || end == std::string::npos) {
        return 0;
    }
    return static_cast<std::uint16_t>(std::strtoul(output_->text.c_str() + at + announcement_.size(), nullptr, 10));
}

std::string Program::address() const
{
    return "127.0.0.1:" + std::to_string(port());
}

std::size_t Program::countInOutput(std::string_view text) const
{
    std::size_t count = 0;
    for (std::size_t at = output_->text.find(text); at != std::string::npos; at = output_->text.find(text, at + text.size())) {
        ++count;
    }
    return count;
}

std::unique_ptr<Program> startStandin(const std::string &kind, std::vector<std::string> options, std::uint16_t port)
{
    options.insert(options.begin(), { kind, "--port=" + std::to_string(port) });
    return std::make_unique<Program>("carobhall-standin", std::move(options));
}

Json::Value requestJson(const Program &standin, const std::string &path, const std::string &body)
{
    const ObjectRef<SoupSession> session(soup_session_new());
    const ObjectRef<SoupMessage> message(soup_message_new(body.empty() ? "GET" : "POST", ("http://" + standin.address() + path).c_str()));
    if (!body.empty()) {
        const std::unique_ptr<GBytes, decltype(&g_bytes_unref)> bytes(g_bytes_new(body.data(), body.size()), &g_bytes_unref);
        soup_message_set_request_body_from_bytes(message.get(), "application/json", bytes.get());
    }
    const std::unique_ptr<GBytes, decltype(&g_bytes_unref)> reply(soup_session_send_and_read(session.get(), message.get(), nullptr, nullptr), &g_bytes_unref);
    if (reply == nullptr) {
        return {};
    }
    gsize size = 0;
    const auto *const start = static_cast<const char *>(g_bytes_get_data(reply.get(), &size));
    return parseJson(std::string_view(start, size)).value_or(Json::Value());
}

// Client ------------------------------------------------------------------------------------------

Client::Client(std::uint16_t agentPort)
    : endpoint_({
        .keys = fleetKeysFrom({ { .id = 1, .key = FleetKey } }).value(),
        .self
        = { .name = "client", .zone = "zagreb-a", .incarnation = drawIncarnation(), .kind = static_cast<std::uint8_t>(ProcessKind::Entry), .upstream = {} },
        .onOpen = [](ConnectionId, const PeerInfo &) {},
        .onMessage = [this](ConnectionId, const Message &message) { received(message); },
        .onClosed = [](ConnectionId, std::error_code) {},
    })
    , connection_(endpoint_.dial("127.0.0.1:" + std::to_string(agentPort)))
{
}

void Client::received(const Message &message)
{
    if (const auto *const reply = std::get_if<ProbeReply>(&message)) {
        probeReplies_[reply->id] = *reply;
    } else if (const auto *const refused = std::get_if<Refused>(&message)) {
        results_[refused->key].refused = *refused;
    } else if (const auto *const head = std::get_if<Head>(&message)) {
        results_[head->key].head = *head;
    } else if (const auto *const chunk = std::get_if<Chunk>(&message)) {
        for (const std::string &piece : chunk->pieces) {
            results_[chunk->key].text += piece;
        }
    } else if (const auto *const end = std::get_if<End>(&message)) {
        results_[end->key].end = *end;
        endpoint_.send(connection_, Cancel{ .key = end->key });
    }
}

const AttemptResult &Client::submit(Submit submit)
{
    submit.key = AttemptId{ .entry = incarnation_, .number = ++lastNumber_, .attempt = 1 };
    if (submit.creditTotal == 0) {
        submit.creditTotal = AmpleCredit;
        submit.creditWindow = AmpleCredit;
    }
    AttemptResult &result = results_[submit.key];
    endpoint_.send(connection_, submit);
    return result;
}

ProbeReply Client::probe(const Submit &submit, std::string_view prompt)
{
    Probe probe;
    probe.id = ++lastNumber_;
    probe.route = submit.route;
    probe.account = submit.account;
    probe.rank = submit.rank;
    probe.fingerprint = submit.fingerprint;
    std::vector<PrefixHash> hashes;
    hashPrefix(prompt, Salt{ .seed = submit.salt, .check = 0 }, hashes);
    probe.samples = sampleHashes(hashes);
    probe.promptPieces = static_cast<std::uint32_t>(hashes.size());
    endpoint_.send(connection_, probe);
    runUntil([&] { return probeReplies_.contains(probe.id); });
    return probeReplies_[probe.id];
}

// Requests and settings ---------------------------------------------------------------------------

Submit completion(const std::string &prompt, std::uint32_t tokens, Rank rank)
{
    Json::Value body(Json::objectValue);
    body["prompt"] = prompt;
    body["max_tokens"] = tokens;
    Submit submit;
    submit.account = "guild";
    submit.rank = static_cast<std::uint8_t>(rank);
    submit.repeatable = true;
    submit.route = "needle";
    submit.method = "POST";
    submit.path = "/v1/completions";
    submit.contentType = "application/json";
    submit.body = writeJson(body);
    submit.salt = TestSalt;
    submit.maxTokens = tokens;
    submit.timeout = 20 * MicrosPerSecond;
    return submit;
}

Submit serviceCall(const std::string &key)
{
    Submit submit;
    submit.account = "guild";
    submit.route = "stamps";
    submit.idempotencyKey = key;
    submit.method = "POST";
    submit.path = "/stamps";
    submit.contentType = "application/json";
    submit.body = "{}";
    submit.timeout = 20 * MicrosPerSecond;
    return submit;
}

std::string documentText()
{
    return R"({
        "name": "guild",
        "regions": [{ "name": "hr-kontinent" }],
        "zones": [{ "name": "zagreb-a", "region": "hr-kontinent" }],
        "links": [],
        "ranks": {
            "paying": { "floor": 0.7, "firstTokenTargetMs": 400, "betweenTokensTargetMs": 43, "deadlineMs": 20000 },
            "free": { "floor": 0.1, "firstTokenTargetMs": 2000, "betweenTokensTargetMs": 100, "deadlineMs": 20000 }
        },
        "modelServers": [
            { "name": "needle-1", "zone": "zagreb-a", "model": "needle", "weightsVersion": "v1", "slots": 1, "cacheBlocks": 4096 },
            { "name": "needle-2", "zone": "zagreb-a", "model": "needle", "weightsVersion": "v1", "slots": 4, "cacheBlocks": 4096 },
            { "name": "needle-3", "zone": "zagreb-a", "model": "needle", "weightsVersion": "v1", "slots": 4, "cacheBlocks": 4096 }
        ],
        "services": [{
            "name": "stamps",
            "routes": [{ "method": "POST", "path": "/stamps", "repeatable": false }],
            "servers": [
                { "name": "stamps-1", "zone": "zagreb-a", "slots": 4 },
                { "name": "stamps-2", "zone": "zagreb-a", "slots": 4 }
            ]
        }],
        "accounts": [{ "name": "guild", "keyDigests": [")"
        + digestOf("guild-key") + R"("], "rank": "paying" }]
    })";
}

AgentOptions agentOptions(const std::string &upstream, const Program &server, const Program *platform)
{
    AgentOptions options;
    ProcessSettings &process = options.settings.process;
    process.name = "agent-" + upstream;
    process.zone = "zagreb-a";
    process.environment = "guild";
    process.fleetKeys = { { .id = 1, .key = FleetKey } };
    process.platformAddress = platform == nullptr ? std::string() : platform->address();
    options.settings.upstream = upstream;
    options.settings.upstreamAddress = server.address();
    ParsedDocument parsed = parseDocument(documentText(), "test document");
    if (!parsed.ok()) {
        g_error("%s", toString(parsed.errors.front()).c_str());
    }
    options.document = { .version = 1, .digest = digestOf(documentText()), .text = documentText(), .document = std::move(parsed.document) };
    options.onStopped = [] {};
    return options;
}

std::unique_ptr<Program> startAgentProgram(const std::string &upstream, const Program &server, const Program &platform)
{
    Json::Value settings(Json::objectValue);
    Json::Value &process = settings["process"];
    process["name"] = "agent-" + upstream;
    process["zone"] = "zagreb-a";
    process["environment"] = "guild";
    process["platformAddress"] = platform.address();
    process["fleetKeys"][0]["id"] = 1;
    process["fleetKeys"][0]["key"] = FleetKey;
    process["documentFile"] = writeTemporary(documentText());
    settings["upstream"] = upstream;
    settings["upstreamAddress"] = server.address();
    const std::string file = writeTemporary(writeJson(settings));
    auto program = std::make_unique<Program>("carobhall-agent", std::vector<std::string>{ "--settings", file }, "wire_port=");
    std::remove(file.c_str());
    std::remove(process["documentFile"].asCString());
    return program;
}

} // namespace Carobhall::Testing
