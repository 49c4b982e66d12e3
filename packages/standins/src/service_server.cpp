#include "carobhall/standins.h"

#include "http_server.h"
#include "json_text.h"

#include <unistd.h>

#include <iostream>

namespace Carobhall::Standin
{

namespace
{

constexpr int CrashExitCode = 70;

bool contains(const std::string &text, const std::string &marker)
{
    return !marker.empty() && text.find(marker) != std::string::npos;
}

/// A service that counts how often each call was executed. Every call with a method other than GET is a booking, identified by the
/// header Idempotency-Key or, without it, by the field "id" of the body.
class ServiceServer : public Server
{
public:
    explicit ServiceServer(ServiceOptions options)
        : options_(std::move(options))
        , incarnation_(drawIncarnation())
        , http_([this](const ExchangePtr &exchange) { handle(exchange); })
    {
        http_.setCommonHeader("Engine-Incarnation", toHex(incarnation_));
    }

    bool listen(std::uint16_t port)
    {
        return http_.listen(port);
    }

    std::uint16_t port() const override
    {
        return http_.port();
    }

private:
    void handle(const ExchangePtr &exchange);
    void run(const ExchangePtr &exchange);
    void replyCounts(const ExchangePtr &exchange) const;
    [[nodiscard]] static std::string identityOf(const HttpRequest &request);

    ServiceOptions options_;
    Incarnation incarnation_ = 0;
    HttpServer http_;
    std::map<std::string, std::uint64_t> counts_;
    std::uint64_t runs_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); ///< Delayed calls hold a weak reference and do nothing after the server is destroyed.
};

void ServiceServer::handle(const ExchangePtr &exchange)
{
    if (exchange->request().path == "/counts") {
        return replyCounts(exchange);
    }
    if (exchange->request().method == "GET") {
        Json::Value body;
        body["service"] = options_.name;
        body["path"] = exchange->request().path;
        return callLater(options_.delay, [exchange, body] { exchange->reply(200, body); });
    }
    if (contains(exchange->request().body, options_.crashBefore)) {
        _exit(CrashExitCode);
    }
    callLater(options_.delay, [this, exchange, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            run(exchange);
        }
    });
}

std::string ServiceServer::identityOf(const HttpRequest &request)
{
    if (!request.idempotencyKey.empty()) {
        return request.idempotencyKey;
    }
    const std::optional<Json::Value> body = parseJsonText(request.body);
    return body && body->isObject() && (*body)["id"].isString() ? (*body)["id"].asString() : "";
}

void ServiceServer::run(const ExchangePtr &exchange)
{
    const std::string id = identityOf(exchange->request());
    const std::uint64_t count = ++counts_[id];
    ++runs_;
    // Tests read the executed calls from this line after a crash, when the counts in memory are lost.
    std::cout << "ran=" << id << " count=" << count << std::endl;
    if (contains(exchange->request().body, options_.crashAfter)) {
        _exit(CrashExitCode);
    }
    if (contains(exchange->request().body, options_.loseAnswer)) {
        return exchange->drop();
    }
    Json::Value body;
    body["id"] = id;
    body["service"] = options_.name;
    body["path"] = exchange->request().path;
    // The confirmation differs for each execution, so that a replayed answer can be distinguished from a second execution.
    body["confirmation"] = toHex(incarnation_) + "-" + std::to_string(runs_);
    exchange->reply(201, body);
}

void ServiceServer::replyCounts(const ExchangePtr &exchange) const
{
    Json::Value body;
    body["runs"] = Json::UInt64{ runs_ };
    body["counts"] = Json::Value(Json::objectValue);
    for (const auto &[id, count] : counts_) {
        body["counts"][id] = Json::UInt64{ count };
    }
    exchange->reply(200, body);
}

} // namespace

std::unique_ptr<Server> startService(std::uint16_t port, ServiceOptions options)
{
    auto server = std::make_unique<ServiceServer>(std::move(options));
    return server->listen(port) ? std::move(server) : nullptr;
}

} // namespace Carobhall::Standin
