#pragma once

// How requests and responses are spelled on the wire of an installation. The adapter in platform/ provides the functions.
//
// The gateway decides with the types below; names of headers appear only behind these functions.

#include "carobhall/http_message.h"
#include "carobhall/prompt_directory.h"

namespace Carobhall
{

/// What a caller's request says beside its path and body.
struct CallerRequest {
    std::string id{}; ///< Of this attempt of the caller; empty when the request has none.
    std::string host{};
    std::string key{};                ///< Empty: none was sent.
    std::optional<Micros> patience{}; ///< How long the caller will wait.
    std::string model{};
    std::vector<PromptPart> parts{};
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< At most.
    std::string resumeAfter{};      ///< Id of the last event that the caller has; empty: from the start.
};

/// What the gateway adds to a request for an upstream.
struct UpstreamInstructions {
    std::string instance{};                  ///< Only this process may run it.
    std::string account{};                   ///< Empty: the route needs no key.
    Micros remaining = 0;                    ///< The upstream stops work after this time.
    std::optional<std::uint32_t> priority{}; ///< 0 is the most urgent.
    std::string cacheSalt{};                 ///< Empty: not a request for a model server.
    std::uint64_t weightsVersion = 0;        ///< The upstream rejects the request unless it has this version; 0: any.
    std::string fetchFrom{};                 ///< Where prompt parts can be fetched from; empty: nowhere.
    std::string saveTo{};                    ///< Where prompt parts are saved; empty: nowhere.
    std::string resumeAfter{};               ///< The stream goes on behind this event; empty: from the start.
};

/// What an upstream's response says of itself.
struct UpstreamResponse {
    std::string requestId{};           ///< Of the request that it belongs to; empty: not said.
    bool authentic = false;            ///< It carries the server's authentication code.
    bool rejected = false;             ///< The upstream states that it has not run the request.
    bool misdirected = false;          ///< Another process than the one that was meant has the address.
    std::string instance{};            ///< The process that answered; empty: not said.
    bool encoded = false;              ///< The body has a content coding, so it is not what the caller asked for.
    std::optional<Micros> keepAlive{}; ///< How long the connection may stay unused.
    std::optional<std::uint64_t> weightsVersion{};
};

struct ExchangeCodec {
    /// False: a field is present and malformed.
    bool (*decodeRequest)(const RequestHead &head, CallerRequest &request) = nullptr;
    /// The head of the request for an upstream, with the length of the body.
    std::string (*encodeRequest)(const RequestHead &head, const UpstreamInstructions &instructions, std::size_t bodySize) = nullptr;
    UpstreamResponse (*decodeResponse)(const ResponseHead &head) = nullptr;
};

} // namespace Carobhall
