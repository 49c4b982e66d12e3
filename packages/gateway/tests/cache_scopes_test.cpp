#include <boost/test/unit_test.hpp>

#include "carobhall/cache_scopes.h"
#include "carobhall/prefix_cache_index.h"

#include <map>
#include <random>
#include <vector>

// Which accounts share cached prompt parts while configurations isolate accounts and give them back.

using namespace Carobhall;

namespace
{

using Names = std::set<std::string, std::less<>>;

const std::vector<std::string> &accountNames()
{
    // The last one is that of requests without an account.
    static const std::vector<std::string> names{ "clinic", "shop", "desk", "a", "ab", "1:a", "" };
    return names;
}

/// A request, with the configurations by which its gateway goes: under which it arrived, and the newest one.
struct Attempt {
    std::string account;
    Names isolatedAtArrival;
    Names isolatedNow;

    [[nodiscard]] bool isIsolated(const std::string &name) const
    {
        return isolatedAtArrival.contains(name) || isolatedNow.contains(name);
    }
};

/// Draws the isolated accounts of a configuration. Most configurations repeat an earlier set, as a configuration that goes back does.
class ConfigurationSource
{
public:
    explicit ConfigurationSource(std::mt19937_64 &random)
        : random_(random)
    {
    }
    Names next()
    {
        if (!earlier_.empty() && random_() % 2 == 0) {
            return earlier_[random_() % earlier_.size()];
        }
        Names isolated;
        for (const std::string &name : accountNames()) {
            if (!name.empty() && random_() % 3 == 0) {
                isolated.insert(name);
            }
        }
        earlier_.push_back(isolated);
        return isolated;
    }

private:
    std::mt19937_64 &random_;
    std::vector<Names> earlier_;
};

} // namespace

// Guards against the WALL violation of an account that becomes isolated: other accounts used the parts that its requests had made. Gateways
// hold different configurations for a time, and requests are sent again after a change.
BOOST_AUTO_TEST_CASE(noScopeIsSharedWithAnIsolatedAccount)
{
    constexpr unsigned Seeds = 50;
    constexpr std::size_t Gateways = 4;
    constexpr int Steps = 3'000;
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        std::mt19937_64 random(seed);
        ConfigurationSource configurations(random);
        std::vector<Names> heldBefore(Gateways);
        std::vector<Names> held(Gateways);
        Names newest;
        std::map<std::string, Names> makers; // By salt.
        unsigned broken = 0;
        unsigned shared = 0;
        for (int step = 0; step < Steps; ++step) {
            const std::size_t gateway = random() % Gateways;
            switch (random() % 20) {
            case 0:
                newest = configurations.next();
                break;
            case 1:
                heldBefore[gateway] = std::exchange(held[gateway], newest);
                break;
            default:
                break;
            }
            const Attempt attempt{ .account = accountNames()[random() % accountNames().size()],
                                   .isolatedAtArrival = random() % 4 == 0 ? heldBefore[gateway] : held[gateway],
                                   .isolatedNow = held[gateway] };
            const CacheScopes scopes = CacheScopes(attempt.isolatedAtArrival).combinedWith(CacheScopes(attempt.isolatedNow));
            Names &earlier = makers[cacheSalt(1, scopes.scopeOf(attempt.account))];
            for (const std::string &maker : earlier) {
                if (maker != attempt.account) {
                    broken += attempt.isIsolated(attempt.account) || attempt.isIsolated(maker) ? 1 : 0;
                    ++shared;
                }
            }
            earlier.insert(attempt.account);
        }
        BOOST_TEST(broken == 0U, "seed " << seed << ": " << broken << " uses of parts of or by an isolated account");
        BOOST_TEST(shared > 0U, "seed " << seed << ": no account shares parts");
    }
}

// Guards against parts that are read again on each gateway, or after each restart: the scopes depend on the configuration only.
BOOST_AUTO_TEST_CASE(scopesDependOnTheIsolatedAccountsOnly)
{
    BOOST_TEST(CacheScopes().scopeOf("shop").empty());
    BOOST_TEST(CacheScopes({ "clinic", "desk" }).scopeOf("shop") == CacheScopes({ "desk", "clinic" }).scopeOf(""));
    BOOST_TEST(CacheScopes({ "clinic" }).scopeOf("clinic") == CacheScopes({ "clinic", "desk" }).scopeOf("clinic"));
    BOOST_TEST((CacheScopes({ "clinic" }).combinedWith(CacheScopes({ "clinic" })) == CacheScopes({ "clinic" })));
}

// Guards against two sets of names, or the name of an account and a set, that give the same salt.
BOOST_AUTO_TEST_CASE(differentSetsOfIsolatedAccountsHaveDifferentScopes)
{
    const std::vector<Names> sets{ {}, { "clinic" }, { "clinic", "desk" }, { "desk" }, { "a", "b" }, { "ab" }, { "a", "1:b" }, { "a1:b" } };
    std::set<std::string> salts;
    for (const Names &isolated : sets) {
        salts.insert(cacheSalt(1, CacheScopes(isolated).scopeOf("shop")));
    }
    BOOST_TEST(salts.size() == sets.size());
    const std::string sharedScope = CacheScopes({ "clinic" }).scopeOf("shop");
    BOOST_TEST(!salts.contains(cacheSalt(1, CacheScopes({ sharedScope }).scopeOf(sharedScope))));
    BOOST_TEST(cacheSalt(1, CacheScopes({ "2" }).scopeOf("2")) != cacheSalt(12, ""));
}
