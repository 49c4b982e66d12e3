#pragma once

// Distribution of the environment document: the copy that each process holds, and the protocol that spreads a new version to all
// processes.
//
//     ConfigHolder holder({.check = ..., .onApplied = ...});
//     ConfigRelay relay(holder, client, {.environment = "guild", .self = {...}, .send = ...});
//     relay.setMembers(members, now);             // from membership, on each change
//     relay.onMessage(peer, message, now);        // ConfigOffer, ConfigPull, ConfigData
//     relay.tick(now);                            // every 10 ms
//     if (!relay.mayServe()) { ... }              // refuse as not run: the version is unconfirmed after a start or a pause
//
// The version of the document is the platform's version of its object, which increases with each write. In each availability
// zone the two processes that rank highest by rendezvous hashing watch the platform. A process that learns of a new version
// offers it to its neighbours, four in its zone and one outside, which pull the document and offer it in turn. Neighbour links
// are used in both directions, which keeps the graph connected when processes fail.
//
// A pull names the version that the puller holds, and the reply omits the common prefix and suffix of the two documents. The
// digest verifies the result; if it does not match, the full text is pulled.
//
// Index
//   1. Values on the platform
//   2. ConfigHolder
//   3. ConfigRelay

#include "carobhall/messages.h"
#include "carobhall/platform.h"

#include <deque>
#include <set>

namespace Carobhall
{

// 1. Values on the platform -----------------------------------------------------------------------

inline constexpr const char *EnvironmentKind = "environments";

/// Spec of an environment object: {"digest", "text"}. The text is the document, byte for byte.
[[nodiscard]] Json::Value encodeEnvironment(const std::string &text);
/// Text of the document; nothing when \p spec is malformed or the digest does not match.
[[nodiscard]] std::optional<std::string> decodeEnvironment(const Json::Value &spec);
/// Hexadecimal BLAKE2b-256 digest, equal to digestOf() of the config package. Thread-safe.
[[nodiscard]] std::string documentDigest(std::string_view text);

// 2. ConfigHolder ---------------------------------------------------------------------------------

enum class DocumentCompatibility : std::uint8_t {
    Usable,
    UnknownFields, ///< Written for a newer program. The known fields are used and the others are ignored.
    Unusable,
};

template<>
struct EnumNames<DocumentCompatibility> {
    static constexpr std::array rows{
        EnumName{ DocumentCompatibility::Usable, "usable" },
        EnumName{ DocumentCompatibility::UnknownFields, "unknown-fields" },
        EnumName{ DocumentCompatibility::Unusable, "unusable" },
    };
};

struct HeldDocument {
    std::uint64_t version = 0; ///< 0: no document, or a document from a file.
    std::string digest;
    std::shared_ptr<const std::string> text;
};

struct HolderOptions {
    std::function<DocumentCompatibility(const std::string &text)> check; ///< Checks a document. Empty: every document is usable.
    std::function<void(const HeldDocument &)> onApplied;                 ///< Called when a usable document takes effect. May be empty.
};

/// Holds the newest document known to one process. Its version never decreases. A document that this program cannot use is still
/// held and forwarded, so that newer programs receive it, while the last usable document stays in effect. Not thread-safe.
class ConfigHolder
{
public:
    explicit ConfigHolder(HolderOptions options);

    /// Holds a document read from a file as version 0, which is older than every version of the platform.
    /// Precondition: no document is held.
    void initializeFromFile(std::string text);

    /// Accepts \p text if \p version is newer and the digest matches. Returns whether it was accepted.
    bool accept(std::uint64_t version, const std::string &digest, std::string text);

    /// Accepts a newer version number for unchanged text. Returns whether it was accepted.
    bool acceptVersion(std::uint64_t version, const std::string &digest);

    [[nodiscard]] const HeldDocument &held() const;     ///< The newest document.
    [[nodiscard]] const HeldDocument &inEffect() const; ///< The newest usable document.
    [[nodiscard]] bool isHeldInEffect() const;          ///< Whether the newest document is in effect.

    /// Text of \p version if it is the current or a recent version; otherwise null.
    [[nodiscard]] std::shared_ptr<const std::string> textOf(std::uint64_t version) const;

private:
    void keepPrevious();

    std::deque<HeldDocument> previous_; ///< Oldest first.
    HolderOptions options_;
    HeldDocument held_;
    HeldDocument inEffect_;
};

/// Message that transfers \p document to a process that holds the text \p base at \p baseVersion. Contains the full text if
/// \p base is null or \p baseVersion is 0. Thread-safe.
[[nodiscard]] ConfigData deltaOf(const HeldDocument &document, std::uint64_t baseVersion, const std::string *base);
/// Reconstructs the document from \p data in a process that holds \p base at \p baseVersion. Returns nothing if the delta is
/// relative to another version. Does not check the digest. Thread-safe.
[[nodiscard]] std::optional<std::string> applyDelta(const ConfigData &data, std::uint64_t baseVersion, const std::string *base);

// 3. ConfigRelay ----------------------------------------------------------------------------------

struct RelayMember {
    std::string name; ///< Unique in the environment.
    std::string zone;
};

struct RelayOptions {
    std::string environment;
    RelayMember self;
    std::uint64_t seed = 1;
    std::size_t watchersPerZone = 2;
    std::size_t neighboursInZone = 4;
    std::size_t neighboursOutsideZone = 1;
    Micros offerEvery = 10 * MicrosPerSecond;  ///< Each neighbour is offered the current version at least this often.
    Micros pullJitter = 20 * MicrosPerMilli;   ///< Upper bound of the random delay that spreads the pulls caused by one offer.
    Micros pullTimeout = 250 * MicrosPerMilli; ///< After this time another source is asked.
    double documentsPerSecond = 40.0;          ///< Rate limit for sent documents; further pulls are not answered.
    double documentBurst = 8.0;
    Micros pauseThreshold = MicrosPerSecond;    ///< A longer interval between ticks counts as a pause of the process.
    Micros confirmTimeout = MicrosPerSecond;    ///< Maximum time without serving after a pause if no peer confirms the version.
    Micros startTimeout = 100 * MicrosPerMilli; ///< The same after a start; short, because a restarted process must serve within 200 ms.
    std::function<void(const std::string &peer, const Message &)> send; ///< Sends a message; it may be lost.
    /// Called on a new version, to disseminate it through membership. May be empty.
    std::function<void(std::uint64_t version, const std::string &digest)> onVersionChanged;
};

struct RelayStats {
    std::uint64_t offersSent = 0;
    std::uint64_t pullsSent = 0;
    std::uint64_t documentsSent = 0;
    std::uint64_t deltasSent = 0;     ///< Documents sent as a delta.
    std::uint64_t deltasRejected = 0; ///< Received deltas that did not yield the document, so that the document had to be pulled again.
    std::uint64_t pullsDropped = 0;   ///< Pulls not answered because of the rate limit.
    std::uint64_t pauses = 0;
    std::uint64_t confirmTimeouts = 0; ///< Starts and pauses after which no peer confirmed the version in time.
};

/// Distributes the document, on behalf of one process. Not thread-safe. Holder and client must outlive it.
class ConfigRelay
{
public:
    ConfigRelay(ConfigHolder &holder, PlatformClient &client, RelayOptions options);
    ~ConfigRelay();
    ConfigRelay(const ConfigRelay &) = delete;
    ConfigRelay &operator=(const ConfigRelay &) = delete;

    /// Sets the processes that are considered alive. The list may or may not include this process.
    void setMembers(const std::vector<RelayMember> &members, Micros now);

    /// Handles a message of a peer. Messages other than ConfigOffer, ConfigPull and ConfigData are ignored.
    void onMessage(const std::string &peer, const Message &message, Micros now);

    /// Reports that \p peer holds \p version, as learned from membership or a probe reply.
    void onPeerVersion(const std::string &peer, std::uint64_t version, Micros now);

    void tick(Micros now);

    /// False after a start or a pause until a peer or the platform has confirmed the version, or the timeout has passed.
    [[nodiscard]] bool mayServe() const;
    [[nodiscard]] bool isWatcher() const;
    [[nodiscard]] const RelayStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
