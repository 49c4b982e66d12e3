#include "carobhall/standins.h"

#include "http_server.h"
#include "json_text.h"

#include <algorithm>

namespace Carobhall::Standin
{

namespace
{

constexpr std::string_view ApiRoot = "/apis/carobhall/v1/";

struct Watch {
    ExchangePtr exchange;
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< Changes up to this version were sent.
};

class PlatformServer : public Server
{
public:
    explicit PlatformServer(PlatformOptions options)
        : model_(options)
        , http_([this](const ExchangePtr &exchange) { handle(exchange); })
    {
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
    void handleObject(const ExchangePtr &exchange, const std::string &kind, const std::string &name);
    void openWatch(const ExchangePtr &exchange, const std::string &kind, const std::string &name);
    void send(const ExchangePtr &exchange, const PlatformAnswer &answer);
    void notifyWatches();
    void control(const ExchangePtr &exchange);
    void applyControl(const Json::Value &body);
    [[nodiscard]] std::optional<std::uint64_t> versionInQuery(const HttpRequest &request) const;

    PlatformModel model_;
    HttpServer http_;
    std::vector<Watch> watches_;
};

void PlatformServer::handle(const ExchangePtr &exchange)
{
    const HttpRequest &request = exchange->request();
    if (request.path == "/control") {
        return control(exchange);
    }
    if (model_.options().outage == Outage::Hang) {
        return;
    }
    if (request.path == "/vms" && request.method == "GET") {
        return send(exchange, model_.vms(monotonicNow()));
    }
    if (!request.path.starts_with(ApiRoot)) {
        return exchange->reply(404, Json::Value(Json::objectValue));
    }
    const std::string rest = request.path.substr(ApiRoot.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (const auto watch = request.query.find("watch"); watch != request.query.end() && watch->second == "true") {
        return openWatch(exchange, kind, name);
    }
    handleObject(exchange, kind, name);
}

std::optional<std::uint64_t> PlatformServer::versionInQuery(const HttpRequest &request) const
{
    const auto found = request.query.find("resourceVersion");
    return found == request.query.end() ? std::nullopt : parseNumber(found->second);
}

void PlatformServer::handleObject(const ExchangePtr &exchange, const std::string &kind, const std::string &name)
{
    const HttpRequest &request = exchange->request();
    if (name.empty()) {
        return request.method == "GET" ? send(exchange, model_.list(monotonicNow(), kind)) : exchange->reply(405, Json::Value(Json::objectValue));
    }
    send(exchange, model_.object(monotonicNow(), request.method, kind, name, request.body, versionInQuery(request)));
    notifyWatches();
}

void PlatformServer::openWatch(const ExchangePtr &exchange, const std::string &kind, const std::string &name)
{
    const std::optional<std::uint64_t> from = versionInQuery(exchange->request());
    const std::uint64_t start = from.value_or(model_.version());
    const PlatformAnswer answer = model_.openWatch(monotonicNow(), start);
    if (answer.status != 200) {
        return send(exchange, answer);
    }
    exchange->begin(200, "application/json");
    if (!from) {
        for (const PlatformChange &change : model_.current(kind, name)) {
            exchange->write(writeJsonText(change.line) + "\n");
        }
    }
    watches_.push_back({ .exchange = exchange, .kind = kind, .name = name, .version = start });
    notifyWatches();
}

void PlatformServer::notifyWatches()
{
    std::erase_if(watches_, [](const Watch &watch) { return watch.exchange->finished(); });
    for (Watch &watch : watches_) {
        for (const PlatformChange &change : model_.changes(watch.version, watch.kind, watch.name)) {
            watch.exchange->write(writeJsonText(change.line) + "\n");
        }
        watch.version = model_.version();
    }
}

void PlatformServer::send(const ExchangePtr &exchange, const PlatformAnswer &answer)
{
    callLater(model_.options().delay, [exchange, answer] {
        if (answer.lost) {
            exchange->drop();
        } else if (answer.status == 429) {
            exchange->reply(answer.status, answer.body, { { "Retry-After", "1" } });
        } else {
            exchange->reply(answer.status, answer.body);
        }
    });
}

void PlatformServer::control(const ExchangePtr &exchange)
{
    if (exchange->request().method == "POST") {
        const std::optional<Json::Value> body = parseJsonText(exchange->request().body);
        if (!body || !body->isObject()) {
            return exchange->reply(400, Json::Value(Json::objectValue));
        }
        applyControl(*body);
    }
    std::erase_if(watches_, [](const Watch &watch) { return watch.exchange->finished(); });
    Json::Value answer;
    answer["reads"] = Json::UInt64{ model_.counts().reads };
    answer["writes"] = Json::UInt64{ model_.counts().writes };
    answer["refused"] = Json::UInt64{ model_.counts().refused };
    answer["watches"] = Json::UInt64{ watches_.size() };
    answer["version"] = Json::UInt64{ model_.version() };
    exchange->reply(200, answer);
}

void PlatformServer::applyControl(const Json::Value &body)
{
    PlatformOptions &options = model_.options();
    if (body["outage"].isString()) {
        options.outage = body["outage"] == "refuse" ? Outage::Refuse : body["outage"] == "hang" ? Outage::Hang : Outage::None;
    } else if (body["outage"].isBool()) {
        options.outage = body["outage"].asBool() ? Outage::Refuse : Outage::None;
    }
    if (options.outage != Outage::None) {
        for (const Watch &watch : std::exchange(watches_, {})) {
            watch.exchange->drop();
        }
    }
    if (body["delay_millis"].isNumeric()) {
        options.delay = static_cast<Micros>(body["delay_millis"].asDouble() * static_cast<double>(MicrosPerMilli));
    }
    if (body["lose_answers"].isUInt64()) {
        options.loseAnswers = body["lose_answers"].asUInt64();
    }
    if (body["lose_answer_share"].isNumeric()) {
        options.loseAnswerShare = body["lose_answer_share"].asDouble();
    }
    if (body["writes_per_second"].isNumeric()) {
        options.writesPerSecond = body["writes_per_second"].asDouble();
    }
    if (body["reads_per_second"].isNumeric()) {
        options.readsPerSecond = body["reads_per_second"].asDouble();
    }
    if (body["vm_list_lag_millis"].isNumeric()) {
        options.vmListLag = static_cast<Micros>(body["vm_list_lag_millis"].asDouble() * static_cast<double>(MicrosPerMilli));
    }
    if (body["vms"].isArray()) {
        model_.setVms(monotonicNow(), body["vms"]);
    }
}

} // namespace

std::unique_ptr<Server> startPlatform(std::uint16_t port, PlatformOptions options)
{
    auto server = std::make_unique<PlatformServer>(options);
    return server->listen(port) ? std::move(server) : nullptr;
}

} // namespace Carobhall::Standin
