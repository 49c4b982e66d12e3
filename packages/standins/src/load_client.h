#pragma once

// The client of the load tool: sends streaming requests and checks every token of each answer.

#include "carobhall/base.h"

#include <libsoup/soup.h>

#include <functional>

namespace Carobhall::Standin
{

struct LoadCall {
    std::string url; ///< "http://ip:port", without a path.
    std::string key; ///< API key, sent as Bearer token; empty: none.
    bool chat = false;
    std::string prompt; ///< For a chat, the content of its only message.
    std::uint64_t maxTokens = 1;
};

enum class LoadOutcome : std::uint8_t {
    Complete,   ///< Every token arrived in order, followed by the end of the stream.
    Refused,    ///< An error status or an error event; verdict and code give the reason.
    Failed,     ///< No HTTP answer.
    Incomplete, ///< The connection ended without an error event and without "[DONE]".
    Wrong,      ///< Tokens differ from the expected answer, or are missing although the stream ended with "[DONE]".
};

struct LoadResult {
    LoadOutcome outcome = LoadOutcome::Failed;
    int status = 0;
    std::string verdict;      ///< Verdict of a refusal; "none" when it carries none.
    std::string code;         ///< Error code of a refusal; "none" when it carries none.
    Micros firstToken = 0;    ///< Time from send() to the first token; 0: no token arrived.
    Micros end = 0;           ///< Time from send() to the end of the answer.
    std::vector<Micros> gaps; ///< Times between successive tokens.
};

/// Sends calls asynchronously on the thread-default GMainContext. Not thread-safe.
class LoadClient
{
public:
    using Done = std::function<void(const LoadResult &)>;

    LoadClient();
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /// Calls \p firstToken when the first token arrives and \p done exactly once at the end. Precondition: the client outlives the call.
    void send(const LoadCall &call, Done done, std::function<void()> firstToken = {});

private:
    SoupSession *session_ = nullptr;
};

} // namespace Carobhall::Standin
