#pragma once

// The environment's document in every process: what a process holds, and how a new version reaches all of them.
//
//     ConfigHolder holder({.check = ..., .onApplied = ...});
//     ConfigRelay relay(holder, client, {.environment = "guild", .self = {...}, .send = ...});
//     relay.setMembers(members, now);             // from membership, on each change
//     relay.onMessage(peer, message, now);        // ConfigOffer, ConfigPull, ConfigData
//     relay.tick(now);                            // every 10 ms
//     if (!relay.mayServe()) { ... }              // refuse as not run: the process was paused and has not confirmed yet
//
// The version is the platform's version of the document's object, which grows with each write. In each availability zone the
// two processes that rank highest by rendezvous hashing watch the platform. A process that learns a version tells its
// neighbours, four in its zone and one outside; these pull the document from it and go on. Each neighbour relation is used in
// both directions, which keeps the graph connected when processes fail. A pull names the version that the puller holds, and the
// answer leaves out the beginning and the end that the two documents share. The digest decides whether the result is right; if
// it is not, the whole text is pulled.
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

/// The spec of an environment's object: {"digest", "text"}; the text is the document, byte for byte.
[[nodiscard]] Json::Value encodeEnvironment(const std::string &text);
/// The text, or nothing when \p spec has none or its digest does not match.
[[nodiscard]] std::optional<std::string> decodeEnvironment(const Json::Value &spec);
/// Hexadecimal BLAKE2b-256 digest, as digestOf() of the config package gives it. Thread-safe.
[[nodiscard]] std::string documentDigest(std::string_view text);

// 2. ConfigHolder ---------------------------------------------------------------------------------

enum class DocumentCompatibility : std::uint8_t {
    Usable,
    UnknownFields, ///< Written for a newer program; the known fields are usable and the others are ignored.
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
    std::uint64_t version = 0; ///< 0: none, or one from a file.
    std::string digest;
    std::shared_ptr<const std::string> text;
};

struct HolderOptions {
    std::function<DocumentCompatibility(const std::string &text)> check; ///< Empty: every document is usable.
    std::function<void(const HeldDocument &)> onApplied;                 ///< A usable document takes effect. May be empty.
};

/// The newest document of one process. Its version never goes down. A document that this program cannot use is held and
/// passed on, so that newer programs get it, and the last usable one stays in effect. Not thread-safe.
class ConfigHolder
{
public:
    explicit ConfigHolder(HolderOptions options);

    /// Takes the document of a file, below every version of the platform. Precondition: none is held.
    void initializeFromFile(std::string text);

    /// Takes \p text if \p version is newer and the digest matches. Returns whether it was taken.
    bool accept(std::uint64_t version, const std::string &digest, std::string text);

    /// Takes a newer version of the same bytes.
    bool acceptVersion(std::uint64_t version, const std::string &digest);

    [[nodiscard]] const HeldDocument &held() const;     ///< The newest.
    [[nodiscard]] const HeldDocument &inEffect() const; ///< The newest usable.
    [[nodiscard]] bool isUsable() const;                ///< Whether these are the same.

    /// The text that was held at \p version, when it is one of the latest; nothing otherwise.
    [[nodiscard]] std::shared_ptr<const std::string> textOf(std::uint64_t version) const;

private:
    void remember();

    std::deque<HeldDocument> earlier_; ///< Oldest first.
    HolderOptions options_;
    HeldDocument held_;
    HeldDocument inEffect_;
};

/// The message that gives \p document to a process that holds \p base at \p baseVersion; the whole text without a \p base.
/// Thread-safe.
[[nodiscard]] ConfigData deltaOf(const HeldDocument &document, std::uint64_t baseVersion, const std::string *base);
/// The document in \p data for a process that holds \p base at \p baseVersion; nothing when the delta is from another version.
/// The digest is not checked. Thread-safe.
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
    std::size_t neighboursElsewhere = 1;
    Micros offerEvery = 10 * MicrosPerSecond;  ///< A neighbour hears the version at least this often.
    Micros pullJitter = 20 * MicrosPerMilli;   ///< Spreads the pulls that one offer causes.
    Micros pullTimeout = 250 * MicrosPerMilli; ///< Then another source is asked.
    double servesPerSecond = 40.0;             ///< Documents that a process sends; further pulls go unanswered.
    double serveBurst = 8.0;
    Micros pauseThreshold = MicrosPerSecond;                            ///< A longer time between ticks counts as a pause.
    Micros confirmTimeout = MicrosPerSecond;                            ///< After a pause, an isolated process serves on by then.
    Micros startTimeout = 100 * MicrosPerMilli;                         ///< After a start, likewise; short because a restarted process serves within 200 ms.
    std::function<void(const std::string &peer, const Message &)> send; ///< Best effort.
    std::function<void(std::uint64_t version, const std::string &digest)> onVersionChanged; ///< To be disseminated by membership. May be empty.
};

struct RelayStats {
    std::uint64_t offersSent = 0;
    std::uint64_t pullsSent = 0;
    std::uint64_t documentsSent = 0;
    std::uint64_t deltasSent = 0;      ///< Of these, without what the puller holds already.
    std::uint64_t deltasUnfit = 0;     ///< Received deltas that did not give the document, so that the whole text was pulled.
    std::uint64_t pullsUnanswered = 0; ///< For lack of budget.
    std::uint64_t pauses = 0;
    std::uint64_t unconfirmed = 0; ///< Pauses after which no peer confirmed in time.
};

/// One process's part in spreading the document. Not thread-safe. Holder and client must outlive it.
class ConfigRelay
{
public:
    ConfigRelay(ConfigHolder &holder, PlatformClient &client, RelayOptions options);
    ~ConfigRelay();
    ConfigRelay(const ConfigRelay &) = delete;
    ConfigRelay &operator=(const ConfigRelay &) = delete;

    /// The processes that are believed to be alive, with or without this one.
    void setMembers(const std::vector<RelayMember> &members, Micros now);

    /// A message of a peer; other messages than ConfigOffer, ConfigPull and ConfigData are ignored.
    void onMessage(const std::string &peer, const Message &message, Micros now);

    /// Membership or a probe reply says that \p peer holds \p version.
    void onPeerVersion(const std::string &peer, std::uint64_t version, Micros now);

    void tick(Micros now);

    /// False after a pause until a peer has confirmed the version.
    [[nodiscard]] bool mayServe() const;
    [[nodiscard]] bool isWatcher() const;
    [[nodiscard]] const RelayStats &stats() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

} // namespace Carobhall
