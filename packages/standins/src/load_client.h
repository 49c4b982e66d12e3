#pragma once

// The caller's side of a load run: sends streamed requests and checks each answer byte for byte.

#include "carobhall/base.h"

#include <libsoup/soup.h>

#include <functional>

namespace Carobhall::Standin
{

struct LoadCall {
    std::string url; ///< "http://ip:port", without a path.
    std::string key; ///< Bearer key; empty: none.
    bool chat = false;
    std::string prompt; ///< Content of the only message of a chat.
    std::uint64_t maxTokens = 1;
};

enum class LoadOutcome : std::uint8_t {
    Complete,   ///< Every token, in order, and the end of the stream.
    Refused,    ///< An error status or an error event; the verdict says more.
    Failed,     ///< No HTTP answer.
    Incomplete, ///< The stream ended without an error event and without its end.
    Wrong,      ///< Tokens that are not the answer to this prompt, or not all of them in a stream that claims to be complete.
};

struct LoadResult {
    LoadOutcome outcome = LoadOutcome::Failed;
    int status = 0;
    std::string verdict;      ///< Of a refusal; "none" when it names none.
    std::string code;         ///< Of a refusal.
    Micros firstToken = 0;    ///< From the call of send(); 0: none came.
    Micros end = 0;           ///< From the call of send().
    std::vector<Micros> gaps; ///< Between two tokens.
};

/// Sends calls on the thread-default GMainContext. Not thread-safe.
class LoadClient
{
public:
    using Done = std::function<void(const LoadResult &)>;

    LoadClient();
    ~LoadClient();
    LoadClient(const LoadClient &) = delete;
    LoadClient &operator=(const LoadClient &) = delete;

    /// \p done runs once, and \p firstToken at the first token. Precondition: the client outlives the call.
    void send(const LoadCall &call, Done done, std::function<void()> firstToken = {});

private:
    SoupSession *session_ = nullptr;
};

} // namespace Carobhall::Standin
