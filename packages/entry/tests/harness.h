#pragma once

// A whole path in one process: callers, an entry process, agents and fake upstreams, all on the default main context.

#include "carobhall/agent.h"
#include "carobhall/entry.h"

#include <set>

namespace Carobhall::Testing
{

inline constexpr const char *CallerKey = "guild-key";
inline constexpr std::size_t DefaultTokens = 20;

/// Iterates the main context until \p condition holds, for at most \p limit. Returns whether it holds.
template<typename Condition>
bool runUntil(Condition condition, Micros limit = 10 * MicrosPerSecond)
{
    const Micros end = monotonicNow() + limit;
    Timer wake; // Bounds each blocking iteration.
    wake.startRepeating(5 * MicrosPerMilli, [] {});
    while (!condition() && monotonicNow() < end) {
        g_main_context_iteration(nullptr, TRUE);
    }
    return condition();
}

/// Token \p index of the answer to every prompt; some are more than one byte long in UTF-8.
std::string tokenAt(std::size_t index);
std::string answerText(std::size_t tokens);

/// A model engine or plain service that does what the test says.
class FakeUpstream
{
public:
    explicit FakeUpstream(std::uint16_t port = 0);
    ~FakeUpstream();

    [[nodiscard]] std::string address() const;
    /// Ends all calls without an end marker and answers nothing until restart().
    void crash();
    /// Listens again at the same port with another incarnation.
    void restart();

    std::size_t tokens = DefaultTokens;
    std::size_t tokenBytes = 0;              ///< Pads each token to this length.
    Micros tokenInterval = 0;                ///< 0: all tokens at once.
    std::optional<std::size_t> crashAtToken; ///< Crashes when it has sent this many tokens of a call.
    bool dropCallAfterRun = false;           ///< A plain call runs, then its connection breaks without an answer.
    Micros plainDelay = 0;
    std::size_t calls = 0;              ///< Calls that began to run.
    std::vector<std::string> cancelled; ///< Request identities in POST /cancel.
    std::vector<Json::Value> bodies;
    std::size_t tokensSent = 0;

private:
    struct Stream {
        ObjectRef<SoupServerMessage> message;
        std::size_t next = 0;
        gulong finished = 0;
        Timer timer;
    };

    static void onRequest(SoupServer *server, SoupServerMessage *message, const char *path, GHashTable *query, gpointer self);
    void listen();
    void answerModel(SoupServerMessage *message);
    void answerPlain(SoupServerMessage *message);
    void step(Stream &stream);

    std::uint16_t port_ = 0;
    Incarnation incarnation_ = 0;
    ObjectRef<SoupServer> server_;
    std::vector<std::unique_ptr<Stream>> streams_;
};

/// One request of a caller.
class Call
{
public:
    struct Options {
        std::string method = "POST";
        std::string path = "/v1/completions";
        std::string body = {};
        std::string key = CallerKey;
        std::string idempotencyKey = {};
        bool readsNothing = false; ///< Leaves the body in the socket until read().
    };

    Call(std::uint16_t port, Options options);
    ~Call();

    /// Reads the body to its end.
    void read();
    /// Closes the connection.
    void leave();
    [[nodiscard]] std::string header(const char *name) const;
    /// The text of all token events.
    [[nodiscard]] std::string streamedText() const;
    [[nodiscard]] bool endsNormally() const;
    [[nodiscard]] std::string errorField(const char *field) const;

    bool done = false;
    bool answered = false; ///< The response's headers are here.
    bool brokenOff = false;
    int status = 0;
    std::string body;

private:
    struct State;
    std::shared_ptr<State> state_;
};

std::string completionBody(bool stream, const std::string &prompt = "dossier");

/// Two model servers of one version, one of another version, and a booking service with two servers.
VersionedDocument testDocument();
EntrySettings entrySettings(const std::vector<std::string> &seeds);
AgentSettings agentSettings(const std::string &upstream, const std::string &upstreamAddress);

} // namespace Carobhall::Testing
