#include "http_frontend.h"

namespace Carobhall
{

namespace
{

constexpr const char *IntakeKey = "carobhall-intake";
/// How long the first request of an account waits for an allowance from the account's coordinator.
constexpr Micros GrantTimeout = 100 * MicrosPerMilli;
constexpr std::string_view BearerPrefix = "Bearer ";
/// How long a request waits for a confirmed document. A process that has a document confirms it within 100 ms after its start and
/// within 1 s after a pause.
constexpr Micros DocumentTimeout = 1500 * MicrosPerMilli;
/// Further requests are refused while this many wait for a document.
constexpr std::size_t MaxAwaitingDocument = 1024;

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

HttpFrontend::HttpFrontend(HttpFrontendOptions options)
    : options_(std::move(options))
    , server_(soup_server_new("server-header", "carobhall", "raw-paths", TRUE, nullptr))
    , accounts_(std::make_unique<AccountTable>(options_.document.current()->document))
{
    options_.document.onReplaced([this](const VersionedDocument &document) { accounts_ = std::make_unique<AccountTable>(document.document); });
    g_signal_connect(server_.get(), "request-started", G_CALLBACK(&HttpFrontend::onStarted), this);
    soup_server_add_early_handler(server_.get(), nullptr, &HttpFrontend::onHeaders, this, nullptr);
    soup_server_add_handler(server_.get(), nullptr, &HttpFrontend::onRequest, this, nullptr);
}

HttpFrontend::~HttpFrontend()
{
    // Messages that libsoup still references outlive the frontend.
    for (Intake *const intake : dispatched_) {
        intake->watch.stop();
        g_signal_handlers_disconnect_by_data(intake->message, intake);
    }
    soup_server_disconnect(server_.get());
}

std::error_code HttpFrontend::listen()
{
    return listenHttp(server_.get(), options_.settings.callerAddress, port_);
}

std::uint16_t HttpFrontend::port() const
{
    return port_;
}

void HttpFrontend::beginLeaving()
{
    leaving_ = true;
}

std::size_t HttpFrontend::openRequests() const
{
    return openRequests_;
}

void HttpFrontend::onStarted(SoupServer * /*server*/, SoupServerMessage *message, gpointer self)
{
    auto *const frontend = static_cast<HttpFrontend *>(self);
    auto *const intake = new Intake;
    intake->frontend = frontend;
    intake->message = message;
    g_object_set_data_full(G_OBJECT(message), IntakeKey, intake, [](gpointer data) { delete static_cast<Intake *>(data); });
    g_signal_connect(message, "got-chunk", G_CALLBACK(&HttpFrontend::onBodyPart), intake);
    g_signal_connect(message, "finished", G_CALLBACK(&HttpFrontend::onFinished), intake);
    // An idle connection cannot be distinguished from one that sends its headers slowly, so both are closed after the time limit.
    intake->timeout.startOnce(frontend->options_.settings.bodyTimeout, [frontend, message] {
        frontend->options_.metrics.count("carobhall_entry_slow_requests_total");
        closeConnection(message);
    });
}

void HttpFrontend::onHeaders(SoupServer * /*server*/, SoupServerMessage *message, const char * /*path*/, GHashTable * /*query*/, gpointer self)
{
    if (auto *const intake = static_cast<Intake *>(g_object_get_data(G_OBJECT(message), IntakeKey)); intake != nullptr) {
        static_cast<HttpFrontend *>(self)->checkHeaders(*intake);
    }
}

void HttpFrontend::checkHeaders(Intake &intake)
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

void HttpFrontend::onBodyPart(SoupServerMessage *message, GBytes *part, gpointer data)
{
    auto &intake = *static_cast<Intake *>(data);
    gsize size = 0;
    const auto *const bytes = static_cast<const char *>(g_bytes_get_data(part, &size));
    if (intake.tooLarge || intake.body.size() + size > intake.frontend->options_.settings.maxBodyBytes) {
        // Read and discard the rest until the time limit, so that the caller receives the error response instead of a connection reset.
        intake.tooLarge = true;
        intake.body.clear();
        intake.body.shrink_to_fit();
        return;
    }
    (void)message;
    intake.body.append(bytes, size);
}

void HttpFrontend::onFinished(SoupServerMessage * /*message*/, gpointer data)
{
    auto &intake = *static_cast<Intake *>(data);
    intake.timeout.stop();
    intake.watch.stop();
    intake.frontend->dispatched_.remove(&intake);
    if (intake.documentDeadline != 0) {
        intake.frontend->awaitingDocument_.remove(&intake);
    }
    if (intake.awaitingGrant) {
        intake.frontend->awaitingGrant_.remove(&intake);
    }
    if (intake.open) {
        intake.open = false;
        --intake.frontend->openRequests_;
    }
    HttpFrontendOptions &options = intake.frontend->options_;
    if (!intake.chargedAccount.empty()) {
        options.limits.settle(intake.chargedAccount, intake.costTokens, options.dispatcher.spentTokens(intake.number));
    }
    if (intake.number != 0) {
        options.dispatcher.onCallerFinished(intake.number);
    }
}

void HttpFrontend::onRequest(SoupServer * /*server*/, SoupServerMessage *message, const char *path, GHashTable * /*query*/, gpointer self)
{
    if (auto *const intake = static_cast<Intake *>(g_object_get_data(G_OBJECT(message), IntakeKey)); intake != nullptr) {
        intake->timeout.stop();
        intake->path = path;
        static_cast<HttpFrontend *>(self)->handle(*intake);
    }
}

const AccountSpec *HttpFrontend::authenticate(SoupServerMessage *message) const
{
    const std::string authorization = headerOf(message, "Authorization");
    if (!authorization.starts_with(BearerPrefix)) {
        return nullptr;
    }
    return accounts_->authenticate(std::string_view(authorization).substr(BearerPrefix.size()));
}

void HttpFrontend::refuse(const Intake &intake, const Failure &failure)
{
    const std::string_view code = nameOf(static_cast<Errc>(failure.error.value()));
    options_.metrics.count("carobhall_entry_refused_total", "error=\"" + std::string(code) + "\"");
    logEvent(LogLevel::Info, "request_refused", { { "error", failure.error }, { "message", failure.message } });
    answerFailure(intake.message, failure);
}

void HttpFrontend::waitForDocument(Intake &intake)
{
    if (awaitingDocument_.size() >= MaxAwaitingDocument) {
        refuse(intake, { .error = Errc::Overloaded, .message = "this entry process has no confirmed configuration document yet" });
        return;
    }
    intake.documentDeadline = monotonicNow() + DocumentTimeout;
    awaitingDocument_.push_back(&intake);
    soup_server_message_pause(intake.message);
}

void HttpFrontend::admit(Intake &intake, CallerRequest call, bool mayWait)
{
    const Micros now = monotonicNow();
    intake.costTokens = estimatedTokens(call);
    const LimitResult result = options_.limits.take(call.account, intake.costTokens, now, mayWait);
    switch (result.decision) {
    case LimitDecision::Allowed:
        intake.chargedAccount = call.account;
        dispatch(intake, std::move(call));
        return;
    case LimitDecision::Pending:
        intake.grantDeadline = intake.grantDeadline == 0 ? now + GrantTimeout : intake.grantDeadline;
        intake.awaitingGrant = std::move(call);
        awaitingGrant_.push_back(&intake);
        soup_server_message_pause(intake.message);
        return;
    case LimitDecision::Refused:
        refuse(intake,
               {
                   .error = Errc::LimitExceeded,
                   .verdict = Verdict::NotRun,
                   .message = "the account has exceeded its limit",
                   .retryAfter = result.retryAfter,
               });
        return;
    }
}

void HttpFrontend::dispatch(Intake &intake, CallerRequest call)
{
    soup_server_message_pause(intake.message);
    Request &request = options_.dispatcher.add(std::move(call));
    intake.number = request.number;
    request.reply = std::make_unique<ReplyWriter>(intake.message, request.call, "req-" + toHex(request.attempt.entry) + "-" + std::to_string(request.number));
    if (GSocket *const socket = soup_server_message_get_socket(intake.message); socket != nullptr) {
        dispatched_.push_back(&intake);
        intake.watch.start(socket, [this, message = intake.message, number = intake.number] { onCallerDisconnected(message, number); });
    }
    options_.dispatcher.start(request);
}

void HttpFrontend::onCallerDisconnected(SoupServerMessage *message, std::uint64_t number)
{
    if (!options_.dispatcher.isOpen(number)) {
        // The response is being written, so libsoup detects the closed connection itself.
        return;
    }
    const ObjectRef<SoupServerMessage> reference = refObject(message);
    options_.metrics.count("carobhall_entry_callers_left_total");
    closeConnection(message);
    // Unpausing makes libsoup write to the closed socket. The write fails, which finishes the message and ends the request.
    if (soup_server_message_get_status(message) == 0) {
        soup_server_message_set_status(message, SOUP_STATUS_INTERNAL_SERVER_ERROR, nullptr);
    }
    soup_server_message_unpause(message);
}

void HttpFrontend::retryAdmission(Intake &intake, bool mayWait)
{
    CallerRequest call = std::move(*intake.awaitingGrant);
    intake.awaitingGrant.reset();
    awaitingGrant_.remove(&intake);
    soup_server_message_unpause(intake.message);
    admit(intake, std::move(call), mayWait);
}

void HttpFrontend::onGrant(const std::string &account)
{
    const std::list<Intake *> waiting = awaitingGrant_;
    for (Intake *const intake : waiting) {
        if (intake->awaitingGrant && intake->awaitingGrant->account == account) {
            retryAdmission(*intake, true);
        }
    }
}

void HttpFrontend::tick(Micros now)
{
    const std::list<Intake *> waiting = awaitingGrant_;
    for (Intake *const intake : waiting) {
        if (intake->awaitingGrant && intake->grantDeadline <= now) {
            retryAdmission(*intake, false);
        }
    }
    const bool ready = options_.mayServe();
    while (!awaitingDocument_.empty() && (ready || awaitingDocument_.front()->documentDeadline <= now)) {
        Intake &intake = *awaitingDocument_.front();
        awaitingDocument_.pop_front();
        intake.documentDeadline = 0;
        soup_server_message_unpause(intake.message);
        if (ready) {
            handle(intake);
        } else {
            refuse(intake, { .error = Errc::NoUpstream, .message = "this entry process has no confirmed configuration document yet" });
        }
    }
}

void HttpFrontend::handle(Intake &intake)
{
    const std::string &path = intake.path;
    SoupServerMessage *const message = intake.message;
    if (leaving_) {
        soup_message_headers_replace(soup_server_message_get_response_headers(message), "Connection", "close");
        refuse(intake, { .error = Errc::Leaving, .message = "this entry process is shutting down" });
        return;
    }
    if (!options_.mayServe()) {
        waitForDocument(intake);
        return;
    }
    const AccountSpec *const account = authenticate(message);
    if (account == nullptr) {
        refuse(intake, { .error = Errc::AuthenticationFailed, .message = "the bearer key is missing or unknown" });
        return;
    }
    if (intake.tooLarge) {
        refuse(intake, { .error = Errc::TooLarge, .message = "the request body is longer than " + std::to_string(options_.settings.maxBodyBytes) + " bytes" });
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
