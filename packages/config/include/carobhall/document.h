#pragma once

// The environment document: what operators write, and what every process acts on.
//
// Index
//   1. Tables           plain structs, one per kind of entity
//   2. Parsing          JSON with comments to tables, with errors that name file, line and path

#include "carobhall/base.h"

namespace Carobhall
{

// 1. Tables ---------------------------------------------------------------------------------------

/// The two ranks of work, in the order of precedence.
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

struct ZoneSpec {
    std::string name;
    std::string region; ///< Name of a RegionSpec.
};

/// A link between two regions; both directions have the same properties.
struct LinkSpec {
    std::string from;               ///< Name of a RegionSpec.
    std::string to;                 ///< Name of another RegionSpec.
    Micros latency = 0;             ///< One way.
    std::int64_t bitsPerSecond = 0; ///< Each way.
    double pricePerGigabyte = 0.0;  ///< In the operator's currency; weighs bytes against time.
};

/// What a rank may claim and what it is held to.
struct RankSpec {
    double floor = 0.0;             ///< Share of each upstream's capacity that the rank keeps under any flood; the sum is at most 1.
    Micros firstTokenTarget = 0;    ///< Target of the time to the first token.
    Micros betweenTokensTarget = 0; ///< Target of the time between two tokens.
    Micros deadline = 0;            ///< A request that cannot start by then is refused.
};

struct ModelServerSpec {
    std::string name;
    std::string zone; ///< Name of a ZoneSpec.
    std::string model;
    std::string weightsVersion;
    std::vector<std::string> adapters;
    std::uint32_t slots = 1;       ///< Requests that the engine batches at once.
    std::uint64_t cacheBlocks = 0; ///< Cached blocks that fit into the engine's memory.
    bool checksFencing = false;    ///< The engine refuses orders with a stale fencing token.
};

/// One route of a plain service.
struct RouteSpec {
    std::string method;      ///< HTTP method.
    std::string path;        ///< Exact path, or a prefix that ends in '/'.
    bool repeatable = false; ///< False for calls such as bookings and orders, which run at most once.
};

struct PlainServerSpec {
    std::string name;
    std::string zone;
    std::uint32_t slots = 1; ///< Calls that the server takes at once.
};

struct PlainServiceSpec {
    std::string name;
    std::vector<RouteSpec> routes;
    std::vector<PlainServerSpec> servers;
};

struct AccountSpec {
    std::string name;
    std::vector<std::string> keyDigests; ///< Hexadecimal BLAKE2b-256 digests of the account's bearer keys.
    Rank rank = Rank::Free;
    double share = 1.0;              ///< Weight in fair queueing within the rank.
    std::uint32_t maxConcurrent = 0; ///< Requests at once over all entry processes; 0 means no limit.
    double tokensPerSecond = 0.0;    ///< Prompt and generated tokens over all entry processes; 0 means no limit.
};

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

struct DocumentError {
    std::string file;
    int line = 0;        ///< From 1.
    std::string path;    ///< Path in the document, for example "accounts[3].rank".
    std::string message; ///< The requirement that the value fails to meet, and usually the value that was found.
};

/// "file:line: path: expected". Thread-safe.
[[nodiscard]] std::string toString(const DocumentError &error);

/// What to do about fields that this program does not know.
enum class UnknownFields : std::uint8_t {
    Refused, ///< Errors, for documents that operators are about to apply: a misspelt field must not be ignored.
    Ignored, ///< Warnings, for documents that a newer program has accepted: the known fields have to take effect here too.
};

template<>
struct EnumNames<UnknownFields> {
    static constexpr std::array rows{
        EnumName{ UnknownFields::Refused, "refused" },
        EnumName{ UnknownFields::Ignored, "ignored" },
    };
};

/// The document, or at least one error.
struct ParsedDocument {
    EnvironmentDocument document;
    std::vector<DocumentError> errors;
    std::vector<DocumentError> warnings; ///< Unknown fields that were ignored.

    [[nodiscard]] bool ok() const
    {
        return errors.empty();
    }
};

/// Parses and checks \p text; \p file is named in errors. Unknown fields, duplicate names, dangling references and
/// impossible sums are errors; \p unknown may turn the first of these into warnings. Thread-safe.
[[nodiscard]] ParsedDocument parseDocument(std::string_view text, std::string_view file, UnknownFields unknown = UnknownFields::Refused);

/// Hexadecimal BLAKE2b-256 digest of a document's bytes or of a bearer key. Thread-safe.
[[nodiscard]] std::string digestOf(std::string_view bytes);

} // namespace Carobhall
