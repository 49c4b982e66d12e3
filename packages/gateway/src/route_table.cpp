#include "carobhall/gateway_config.h"

#include <algorithm>

namespace Carobhall
{

namespace
{

std::string toLower(std::string_view text)
{
    std::string result(text);
    std::ranges::transform(result, result.begin(), [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return result;
}

std::set<std::string, std::less<>> isolatedNames(const std::vector<Account> &accounts)
{
    std::set<std::string, std::less<>> names;
    for (const Account &account : accounts) {
        if (account.isolated) {
            names.insert(account.name);
        }
    }
    return names;
}

} // namespace

RouteTable::RouteTable(GatewayConfig config)
    : config_(std::move(config))
    , cacheScopes_(isolatedNames(config_.accounts))
{
    for (const Route &route : config_.routes) {
        byHost_[toLower(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : byHost_) {
        std::ranges::stable_sort(routes, [](const Route *a, const Route *b) { return a->pathPrefix.size() > b->pathPrefix.size(); });
    }
    for (const Account &account : config_.accounts) {
        for (const std::string &key : account.keys) {
            byKey_[key] = &account;
        }
    }
    for (const Service &service : config_.services) {
        services_[service.name] = &service;
    }
}

const GatewayConfig &RouteTable::config() const
{
    return config_;
}

const Route *RouteTable::find(std::string_view host, std::string_view target) const
{
    // The host may include a port, which is ignored.
    const auto found = byHost_.find(toLower(host.substr(0, host.find(':'))));
    if (found == byHost_.end()) {
        return nullptr;
    }
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Route *route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const Account *RouteTable::accountOf(std::string_view key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : found->second;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

const Service *RouteTable::cacheStore() const
{
    for (const Service &service : config_.services) {
        if (!service.cacheStoreAddress.empty()) {
            return &service;
        }
    }
    return nullptr;
}

const CacheScopes &RouteTable::cacheScopes() const
{
    return cacheScopes_;
}

} // namespace Carobhall
