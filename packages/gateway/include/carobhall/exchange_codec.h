#pragma once

// Translation between the gateway's types and the HTTP headers of an installation. The adapter in platform/ provides the
// functions; header names appear only there.

#include "carobhall/http_message.h"
#include "carobhall/prefix_cache_index.h"

namespace Carobhall
{

/// Fields of a caller's request besides its method, path and body.
struct CallerRequest {
    std::string id{}; ///< Identifies this attempt of the caller; empty: the request has no id.
    std::string host{};
    std::string apiKey{};            ///< Empty: the request has no key.
    std::optional<Micros> timeout{}; ///< How long the caller waits for the response.
    std::string model{};
    std::vector<PromptPart> parts{};
    std::uint64_t promptTokens = 0;
    std::uint64_t outputTokens = 0; ///< Maximum.
    bool namesTokens = false;       ///< The request says how many tokens it has.
    std::string resumeAfter{};      ///< Id of the last stream event that the caller has received; empty: start of the stream.
};

/// Fields that the gateway sets in a request to an upstream.
struct UpstreamInstructions {
    std::string instance{};                  ///< The upstream process that is to run the request; any other one rejects it.
    std::string account{};                   ///< Empty: the route requires no key.
    Micros timeout = 0;                      ///< The upstream cancels the request after this time.
    std::optional<std::uint32_t> priority{}; ///< 0 is the most urgent.
    std::string cacheSalt{};                 ///< Empty: the upstream is not a model server.
    std::uint64_t weightsVersion = 0;        ///< The upstream rejects the request unless it has this version loaded; 0: any.
    std::string fetchFrom{};                 ///< Address from which the KV cache of prompt parts can be fetched; empty: none.
    std::string saveTo{};                    ///< Address to which the KV cache of prompt parts is saved; empty: none.
    std::string resumeAfter{};               ///< The stream resumes after the event with this id; empty: start of the stream.
};

/// Fields of an upstream's response that the gateway uses.
struct UpstreamResponse {
    std::string requestId{};           ///< Id of the request that it answers; empty: not given.
    bool authentic = false;            ///< The response carries the server's authentication code.
    bool rejected = false;             ///< The upstream states that it has not run the request.
    bool misdirected = false;          ///< The process that received the request is not the one that it was addressed to.
    std::string instance{};            ///< The process that answered; empty: not given.
    bool hasContentEncoding = false;   ///< The body has a content coding that the caller did not ask for.
    std::optional<Micros> keepAlive{}; ///< Idle timeout of the connection.
    std::optional<std::uint64_t> weightsVersion{};
    bool leaving = false;                      ///< The process shuts down and takes no new requests.
    std::optional<Micros> pause{};             ///< The process has turned the request away and takes no others for this time.
    std::optional<double> requestsPerSecond{}; ///< How many requests the upstream takes from all gateways together; empty: as many as come.
};

struct ExchangeCodec {
    /// Returns false when a header is present but malformed.
    bool (*decodeRequest)(const RequestHead &head, CallerRequest &request) = nullptr;
    /// The request line and headers for an upstream, with the length of the body.
    std::string (*encodeRequest)(const RequestHead &head, const UpstreamInstructions &instructions, std::size_t bodySize) = nullptr;
    UpstreamResponse (*decodeResponse)(const ResponseHead &head) = nullptr;
};

} // namespace Carobhall
