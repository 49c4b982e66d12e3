#pragma once

// Test fixtures that run callers, an entry process, agents and fake upstreams in one process, all on the default main context.

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

/// Token \p index of the answer that FakeUpstream gives to every prompt. Every third token contains a two-byte UTF-8 character.
std::string tokenAt(std::size_t index);
/// The first \p tokens tokens of that answer.
std::string answerText(std::size_t tokens);

/// A model engine or plain service whose behavior the test controls.
class FakeUpstream
{
public:
    explicit FakeUpstream(std::uint16_t port = 0);
    ~FakeUpstream();

    [[nodiscard]] std::string address() const;
    /// Breaks the connections of all calls and stops listening until restart().
    void crash();
    /// Listens again on the same port, as another incarnation.
    void restart();

    std::size_t tokens = DefaultTokens;
    std::size_t tokenBytes = 0;              ///< Minimum length of a token, reached by padding.
    Micros tokenInterval = 0;                ///< 0: without delay.
    std::optional<std::size_t> crashAtToken; ///< Calls crash() once, when this many tokens of a call have been sent.
    bool dropCallAfterRun = false;           ///< A call to the plain service runs, but its connection is closed without an answer.
    Micros plainDelay = 0;                   ///< Delay of the plain service's answers.
    std::size_t calls = 0;                   ///< Calls that have started to run.
    std::vector<std::string> cancelled;      ///< Values of request_id received in POST /cancel.
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
    void sendNextEvent(Stream &stream);

    std::uint16_t port_ = 0;
    Incarnation incarnation_ = 0;
    ObjectRef<SoupServer> server_;
    std::vector<std::unique_ptr<Stream>> streams_;
};

/// An HTTP request of a caller.
class Call
{
public:
    struct Options {
        std::string method = "POST";
        std::string path = "/v1/completions";
        std::string body = {};
        std::string key = CallerKey;
        std::string idempotencyKey = {};
        bool deferRead = false; ///< Does not read the response body until read() is called.
    };

    Call(std::uint16_t port, Options options);
    ~Call();

    /// Reads the response body to its end.
    void read();
    /// Closes the connection.
    void disconnect();
    [[nodiscard]] std::string header(const char *name) const;
    /// Concatenated text of all token events.
    [[nodiscard]] std::string streamedText() const;
    /// Whether the response ends with the [DONE] event.
    [[nodiscard]] bool endsNormally() const;
    /// A field of the error object in the response body or in its last event; empty: none.
    [[nodiscard]] std::string errorField(const char *field) const;

    bool done = false;
    bool answered = false; ///< The response headers have arrived.
    bool aborted = false;  ///< The connection broke before the end of the response.
    int status = 0;
    std::string body;

private:
    struct State;
    std::shared_ptr<State> state_;
};

std::string completionBody(bool stream, const std::string &prompt = "dossier");

/// Two model servers with weights version v1, one with v2, and a plain service with two servers.
VersionedDocument testDocument();
EntrySettings entrySettings(const std::vector<std::string> &seeds);
AgentSettings agentSettings(const std::string &upstream, const std::string &upstreamAddress);

} // namespace Carobhall::Testing
