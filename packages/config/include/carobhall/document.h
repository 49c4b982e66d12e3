#pragma once

// The environment document: the configuration of one environment, which operators write and every process loads.
//
// Index
//   1. Tables           one struct per kind of entity
//   2. Parsing          from JSON with comments to the structs; errors name the file, line and path

#include "carobhall/base.h"

namespace Carobhall
{

// 1. Tables ---------------------------------------------------------------------------------------

/// Priority class of an account's requests, highest priority first.
enum class Rank : std::uint8_t { Paying, Free };

inline constexpr std::size_t RankCount = 2;

template<>
struct EnumNames<Rank> {
    static constexpr std::array rows{
        EnumName{ Rank::Paying, "paying" },
        EnumName{ Rank::Free, "free" },
    };
};

struct RegionSpec {
    std::string name;
};

/// An availability zone.
struct ZoneSpec {
    std::string name;
    std::string region; ///< Name of a RegionSpec.
};

/// The network link between two regions. Both directions have the same properties.
struct LinkSpec {
    std::string from;               ///< Name of a RegionSpec.
    std::string to;                 ///< Name of another RegionSpec.
    Micros latency = 0;             ///< One-way latency.
    std::int64_t bitsPerSecond = 0; ///< Bandwidth in each direction.
    double pricePerGigabyte = 0.0;  ///< In the operator's currency. Routing weighs the transfer cost against the time.
};

/// Capacity share and latency targets of a rank.
struct RankSpec {
    double floor = 0.0;             ///< Fraction of each upstream's capacity reserved for the rank under overload; the sum is at most 1.
    Micros firstTokenTarget = 0;    ///< Target time to first token.
    Micros betweenTokensTarget = 0; ///< Target time between two tokens.
    Micros deadline = 0;            ///< Time after arrival; a request that cannot start before it expires is refused.
};

/// An inference engine that serves one model.
struct ModelServerSpec {
    std::string name;
    std::string zone; ///< Name of a ZoneSpec.
    std::string model;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::uint32_t slots = 1;       ///< Maximum batch size of the engine, in requests.
    std::uint64_t cacheBlocks = 0; ///< Capacity of the engine's prefix cache, in blocks.
    bool checksFencing = false;    ///< Whether the engine rejects orders that carry a stale fencing token.
};

/// A route of a plain service.
struct RouteSpec {
    std::string method;      ///< HTTP method.
    std::string path;        ///< Exact path, or a prefix that ends in '/'.
    bool repeatable = false; ///< Whether a call may run more than once; false for calls such as bookings and orders.
};

/// A server of a plain service.
struct PlainServerSpec {
    std::string name;
    std::string zone;
    std::uint32_t slots = 1; ///< Maximum number of concurrent calls.
};

/// A plain service: an HTTP service other than a model, with its routes and servers.
struct PlainServiceSpec {
    std::string name;
    std::vector<RouteSpec> routes;
    std::vector<PlainServerSpec> servers;
};

/// A client account.
struct AccountSpec {
    std::string name;
    std::vector<std::string> keyDigests; ///< Hexadecimal BLAKE2b-256 digests of the account's bearer keys.
    Rank rank = Rank::Free;
    double share = 1.0;              ///< Weight for fair queueing among the accounts of the rank.
    std::uint32_t maxConcurrent = 0; ///< Concurrent requests across all entry processes; 0 means no limit.
    double tokensPerSecond = 0.0;    ///< Prompt and generated tokens across all entry processes; 0 means no limit.
};

/// A store outside the engines that keeps KV cache blocks.
struct KvStoreSpec {
    std::string name;
    std::string zone;
    std::string address; ///< "ip:port".
};

struct EnvironmentDocument {
    std::string name;
    std::vector<RegionSpec> regions;
    std::vector<ZoneSpec> zones;
    std::vector<LinkSpec> links;
    std::array<RankSpec, RankCount> ranks; ///< Indexed by Rank.
    std::vector<ModelServerSpec> modelServers;
    std::vector<PlainServiceSpec> services;
    std::vector<AccountSpec> accounts;
    std::vector<KvStoreSpec> kvStores;
};

// 2. Parsing --------------------------------------------------------------------------------------

/// An error in a document or in settings.
struct DocumentError {
    std::string file;
    int line = 0;        ///< Counted from 1; 0 for an override, whose source takes the place of the file.
    std::string path;    ///< Path in the document, for example "accounts[3].rank".
    std::string message; ///< The requirement that the value fails to meet, and usually the value that was found.
};

/// "file:line: path: message". Thread-safe.
[[nodiscard]] std::string toString(const DocumentError &error);

/// How the parser treats fields that this program does not know.
enum class UnknownFields : std::uint8_t {
    Refused, ///< Reported as errors. For documents that operators are about to apply: a misspelt field must not be ignored.
    Ignored, ///< Reported as warnings. For documents that a newer program has accepted: the known fields must take effect here, too.
};

template<>
struct EnumNames<UnknownFields> {
    static constexpr std::array rows{
        EnumName{ UnknownFields::Refused, "refused" },
        EnumName{ UnknownFields::Ignored, "ignored" },
    };
};

/// Result of parseDocument(). The document is usable only if there are no errors.
struct ParsedDocument {
    EnvironmentDocument document;
    std::vector<DocumentError> errors;
    std::vector<DocumentError> warnings; ///< Unknown fields that were ignored.

    [[nodiscard]] bool ok() const
    {
        return errors.empty();
    }
};

/// Parses and validates \p text; errors name \p file. Duplicate names, references to undefined names and rank floors that add up
/// to more than 1 are errors. Unknown fields are errors or warnings, depending on \p unknown. Thread-safe.
[[nodiscard]] ParsedDocument parseDocument(std::string_view text, std::string_view file, UnknownFields unknown = UnknownFields::Refused);

/// Hexadecimal BLAKE2b-256 digest of \p bytes: those of a document or of a bearer key. Thread-safe.
[[nodiscard]] std::string digestOf(std::string_view bytes);

} // namespace Carobhall
