#include "http_front.h"

namespace Carobhall
{

namespace
{

constexpr const char *IntakeKey = "carobhall-intake";
/// A first request of an account waits this long for an allowance from the account's home.
constexpr Micros GrantPatience = 100 * MicrosPerMilli;
constexpr std::string_view BearerPrefix = "Bearer ";
/// A process that has a document confirms it within 100 ms of its start and within 1 s of a pause.
constexpr Micros DocumentPatience = 1500 * MicrosPerMilli;
constexpr std::size_t MaxWaiting = 1024;

std::string headerOf(SoupServerMessage *message, const char *name)
{
    const char *const value = soup_message_headers_get_one(soup_server_message_get_request_headers(message), name);
    return value == nullptr ? std::string() : std::string(value);
}

std::string textOrEmpty(const char *text)
{
    return text == nullptr ? std::string() : std::string(text);
}

void closeConnection(SoupServerMessage *message)
{
    if (GSocket *const socket = soup_server_message_get_socket(message); socket != nullptr) {
        g_socket_shutdown(socket, TRUE, TRUE, nullptr);
    }
}

} // namespace

HttpFront::HttpFront(HttpFrontOptions options)
    : options_(std::move(options))
    , server_(soup_server_new("server-header", "carobhall", "raw-paths", TRUE, nullptr))
    , accounts_(std::make_unique<AccountTable>(options_.document.current()->document))
{
    options_.document.onReplaced([this](const VersionedDocument &document) { accounts_ = std::make_unique<AccountTable>(document.document); });
    g_signal_connect(server_.get(), "request-started", G_CALLBACK(&HttpFront::onStarted), this);
    soup_server_add_early_handler(server_.get(), nullptr, &HttpFront::onHeaders, this, nullptr);
    soup_server_add_handler(server_.get(), nullptr, &HttpFront::onRequest, this, nullptr);
}

HttpFront::~HttpFront()
{
    // A message that libsoup still holds outlives the front.
    for (Intake *const intake : inWork_) {
        intake->watch.stop();
        g_signal_handlers_disconnect_by_data(intake->message, intake);
    }
    soup_server_disconnect(server_.get());
}

std::error_code HttpFront::listen()
{
    return listenHttp(server_.get(), options_.settings.callerAddress, port_);
}

std::uint16_t HttpFront::port() const
{
    return port_;
}

void HttpFront::beginLeaving()
{
    leaving_ = true;
}

std::size_t HttpFront::openRequests() const
{
    return openRequests_;
}

void HttpFront::onStarted(SoupServer * /*server*/, SoupServerMessage *message, gpointer self)
{
    auto *const front = static_cast<HttpFront *>(self);
    auto *const intake = new Intake;
    intake->front = front;
    intake->message = message;
    g_object_set_data_full(G_OBJECT(message), IntakeKey, intake, [](gpointer data) { delete static_cast<Intake *>(data); });
    g_signal_connect(message, "got-chunk", G_CALLBACK(&HttpFront::onBodyPart), intake);
    g_signal_connect(message, "finished", G_CALLBACK(&HttpFront::onFinished), intake);
    // An idle connection and one that sends its headers slowly look the same; both end after the time limit.
    intake->timeout.startOnce(front->options_.settings.bodyTimeout, [front, message] {
        front->options_.metrics.count("carobhall_entry_slow_requests_total");
        closeConnection(message);
    });
}

void HttpFront::onHeaders(SoupServer * /*server*/, SoupServerMessage *message, const char * /*path*/, GHashTable * /*query*/, gpointer self)
{
    if (auto *const intake = static_cast<Intake *>(g_object_get_data(G_OBJECT(message), IntakeKey)); intake != nullptr) {
        static_cast<HttpFront *>(self)->checkHeaders(*intake);
    }
}

void HttpFront::checkHeaders(Intake &intake)
{
    intake.arrivedAt = monotonicNow();
    intake.open = true;
    ++openRequests_;
    SoupMessageHeaders *const headers = soup_server_message_get_request_headers(intake.message);
    soup_message_body_set_accumulate(soup_server_message_get_request_body(intake.message), FALSE);
    if (soup_message_headers_get_encoding(headers) == SOUP_ENCODING_CONTENT_LENGTH
        && static_cast<std::uint64_t>(soup_message_headers_get_content_length(headers)) > options_.settings.maxBodyBytes) {
        intake.tooLarge = true;
    }
}

void HttpFront::onBodyPart(SoupServerMessage *message, GBytes *part, gpointer data)
{
    auto &intake = *static_cast<Intake *>(data);
    gsize size = 0;
    const auto *const bytes = static_cast<const char *>(g_bytes_get_data(part, &size));
    if (intake.tooLarge || intake.body.size() + size > intake.front->options_.settings.maxBodyBytes) {
        // The rest is read and dropped until the time limit, so that the caller reads the answer instead of a reset.
        intake.tooLarge = true;
        intake.body.clear();
        intake.body.shrink_to_fit();
        return;
    }
    (void)message;
    intake.body.append(bytes, size);
}

void HttpFront::onFinished(SoupServerMessage * /*message*/, gpointer data)
{
    auto &intake = *static_cast<Intake *>(data);
    intake.timeout.stop();
    intake.watch.stop();
    intake.front->inWork_.remove(&intake);
    if (intake.waitUntil != 0) {
        intake.front->waiting_.remove(&intake);
    }
    if (intake.held) {
        intake.front->held_.remove(&intake);
    }
    if (intake.open) {
        intake.open = false;
        --intake.front->openRequests_;
    }
    HttpFrontOptions &options = intake.front->options_;
    if (!intake.charged.empty()) {
        options.limits.settle(intake.charged, intake.cost, options.dispatcher.spentTokens(intake.number));
    }
    if (intake.number != 0) {
        options.dispatcher.callerGone(intake.number);
    }
}

void HttpFront::onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable * /*query*/, gpointer self)
{
    if (auto *const intake = static_cast<Intake *>(g_object_get_data(G_OBJECT(message), IntakeKey)); intake != nullptr) {
        intake->timeout.stop();
        intake->path = path;
        static_cast<HttpFront *>(self)->handle(*intake);
    }
}

const AccountSpec *HttpFront::accountOf(SoupServerMessage *message) const
{
    const std::string authorization = headerOf(message, "Authorization");
    if (!authorization.starts_with(BearerPrefix)) {
        return nullptr;
    }
    return accounts_->authenticate(std::string_view(authorization).substr(BearerPrefix.size()));
}

void HttpFront::refuse(const Intake &intake, const Failure &failure)
{
    const std::string_view code = nameOf(static_cast<Errc>(failure.error.value()));
    options_.metrics.count("carobhall_entry_refused_total", "error=\"" + std::string(code) + "\"");
    logEvent(LogLevel::Info, "request_refused", { { "error", failure.error }, { "message", failure.message } });
    answerFailure(intake.message, failure);
}

void HttpFront::wait(Intake &intake)
{
    if (waiting_.size() >= MaxWaiting) {
        refuse(intake, { .error = Errc::Overloaded, .message = "this entry process has no confirmed document yet" });
        return;
    }
    intake.waitUntil = monotonicNow() + DocumentPatience;
    waiting_.push_back(&intake);
    soup_server_message_pause(intake.message);
}

void HttpFront::admit(Intake &intake, CallerRequest call, bool mayWait)
{
    const Micros now = monotonicNow();
    intake.cost = estimatedTokens(call);
    const LimitResult answer = options_.limits.take(call.account, intake.cost, now, mayWait);
    switch (answer.decision) {
    case LimitDecision::Allowed:
        intake.charged = call.account;
        begin(intake, std::move(call));
        return;
    case LimitDecision::Pending:
        intake.grantBy = intake.grantBy == 0 ? now + GrantPatience : intake.grantBy;
        intake.held = std::move(call);
        held_.push_back(&intake);
        soup_server_message_pause(intake.message);
        return;
    case LimitDecision::Refused:
        refuse(intake,
               {
                   .error = Errc::LimitExceeded,
                   .verdict = Verdict::NotRun,
                   .message = "the account is over its limit",
                   .retryAfter = answer.retryAfter,
               });
        return;
    }
}

void HttpFront::begin(Intake &intake, CallerRequest call)
{
    soup_server_message_pause(intake.message);
    Request &request = options_.dispatcher.add(std::move(call));
    intake.number = request.number;
    request.reply = std::make_unique<ReplyWriter>(intake.message, request.call, "req-" + toHex(request.attempt.entry) + "-" + std::to_string(request.number));
    if (GSocket *const socket = soup_server_message_get_socket(intake.message); socket != nullptr) {
        inWork_.push_back(&intake);
        intake.watch.start(socket, [this, message = intake.message, number = intake.number] { callerLeft(message, number); });
    }
    options_.dispatcher.start(request);
}

void HttpFront::callerLeft(SoupServerMessage *message, std::uint64_t number)
{
    if (!options_.dispatcher.isOpen(number)) {
        // The answer is being written, and libsoup notices the end by itself.
        return;
    }
    const ObjectRef<SoupServerMessage> kept = refObject(message);
    options_.metrics.count("carobhall_entry_callers_left_total");
    closeConnection(message);
    // The write that follows fails, which ends the message and with it the request.
    if (soup_server_message_get_status(message) == 0) {
        soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    }
    soup_server_message_unpause(message);
}

void HttpFront::retryHeld(Intake &intake, bool mayWait)
{
    CallerRequest call = std::move(*intake.held);
    intake.held.reset();
    held_.remove(&intake);
    soup_server_message_unpause(intake.message);
    admit(intake, std::move(call), mayWait);
}

void HttpFront::grantArrived(const std::string &account)
{
    const std::list<Intake *> held = held_;
    for (Intake *const intake : held) {
        if (intake->held && intake->held->account == account) {
            retryHeld(*intake, true);
        }
    }
}

void HttpFront::tick(Micros now)
{
    const std::list<Intake *> held = held_;
    for (Intake *const intake : held) {
        if (intake->held && intake->grantBy <= now) {
            retryHeld(*intake, false);
        }
    }
    const bool ready = options_.mayServe();
    while (!waiting_.empty() && (ready || waiting_.front()->waitUntil <= now)) {
        Intake &intake = *waiting_.front();
        waiting_.pop_front();
        intake.waitUntil = 0;
        soup_server_message_unpause(intake.message);
        if (ready) {
            handle(intake);
        } else {
            refuse(intake, { .error = Errc::NoUpstream, .message = "this entry process has no confirmed document yet" });
        }
    }
}

void HttpFront::handle(Intake &intake)
{
    const std::string &path = intake.path;
    SoupServerMessage *const message = intake.message;
    if (leaving_) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
        refuse(intake, { .error = Errc::Leaving, .message = "this entry process is shutting down" });
        return;
    }
    if (!options_.mayServe()) {
        wait(intake);
        return;
    }
    const AccountSpec *const account = accountOf(message);
    if (account == nullptr) {
        refuse(intake, { .error = Errc::AuthenticationFailed, .message = "the bearer key is missing or unknown" });
        return;
    }
    if (intake.tooLarge) {
        refuse(intake, { .error = Errc::TooLarge, .message = "the body is longer than " + std::to_string(options_.settings.maxBodyBytes) + " bytes" });
        return;
    }
    const auto document = options_.document.current();
    const std::string method = textOrEmpty(soup_server_message_get_method(message));
    if (method == "GET" && path == "/v1/models") {
        const std::string list = modelList(document->document);
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_server_message_set_response(message, "application/json", SOUP_MEMORY_COPY, list.data(), list.size());
        return;
    }
    auto checked = checkRequest(
        {
            .method = method,
            .path = path,
            .query = textOrEmpty(g_uri_get_query(soup_server_message_get_uri(message))),
            .contentType = headerOf(message, "Content-Type"),
            .idempotencyKey = headerOf(message, "Idempotency-Key"),
            .body = std::move(intake.body),
            .arrivedAt = intake.arrivedAt,
        },
        *account, document->document);
    if (const auto *const failure = std::get_if<Failure>(&checked)) {
        refuse(intake, *failure);
        return;
    }
    admit(intake, std::move(std::get<CallerRequest>(checked)), true);
}

} // namespace Carobhall
