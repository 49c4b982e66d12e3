#include "carobhall/soup_transport.h"

#include <json/reader.h>
#include <json/writer.h>
#include <libsoup/soup.h>
#include <utility>

namespace Carobhall
{

namespace
{

constexpr unsigned TooManyRequests = 429; ///< HTTP status without a constant in libsoup.

constexpr const char *ApiPath = "/apis/carobhall/v1/";

template<typename T>
struct Unref {
    void operator()(T *object) const
    {
        g_object_unref(object);
    }
};
template<typename T>
using GRef = std::unique_ptr<T, Unref<T>>;

struct FreeError {
    void operator()(GError *error) const
    {
        g_error_free(error);
    }
};
using ErrorRef = std::unique_ptr<GError, FreeError>;

struct FreeBytes {
    void operator()(GBytes *bytes) const
    {
        g_bytes_unref(bytes);
    }
};
using BytesRef = std::unique_ptr<GBytes, FreeBytes>;

/// The platform encodes versions as strings; numbers are accepted, too.
std::optional<std::uint64_t> versionFrom(const Json::Value &value)
{
    if (value.isUInt64()) {
        return value.asUInt64();
    }
    if (!value.isString()) {
        return std::nullopt;
    }
    const std::string text = value.asString();
    if (text.empty() || text.find_first_not_of("0123456789") != std::string::npos || text.size() > 18) {
        return std::nullopt;
    }
    return std::stoull(text);
}

std::optional<Json::Value> parseJson(const char *begin, std::size_t size)
{
    static const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string errors;
    if (!reader->parse(begin, begin + size, &value, &errors) || !value.isObject()) {
        return std::nullopt;
    }
    return value;
}

std::string writeJson(const Json::Value &value)
{
    static const Json::StreamWriterBuilder builder = [] {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        settings["emitUTF8"] = true;
        return settings;
    }();
    return Json::writeString(builder, value);
}

std::string escaped(const std::string &part)
{
    const std::unique_ptr<char, decltype(&g_free)> text(g_uri_escape_string(part.c_str(), nullptr, FALSE), g_free);
    return text.get();
}

const char *methodOf(PlatformVerb verb)
{
    switch (verb) {
    case PlatformVerb::Get:
    case PlatformVerb::List:
        return SOUP_METHOD_GET;
    case PlatformVerb::Create:
        return SOUP_METHOD_POST;
    case PlatformVerb::Update:
        return SOUP_METHOD_PUT;
    case PlatformVerb::Delete:
        return SOUP_METHOD_DELETE;
    }
    return SOUP_METHOD_GET;
}

/// Reply for a transport error. If the connection was refused, the call was not sent; after any other error it may have been received.
PlatformReply replyOf(const GError &error, bool write)
{
    PlatformReply reply;
    const bool refused = g_error_matches(&error, G_IO_ERROR, G_IO_ERROR_CONNECTION_REFUSED) != FALSE;
    reply.error = refused ? Errc::PlatformUnavailable : Errc::ConnectionLost;
    reply.verdict = write && !refused ? Verdict::MayHaveRun : Verdict::NotRun;
    return reply;
}

/// Error for an HTTP status; empty for success.
std::error_code errorOf(unsigned status, PlatformVerb verb)
{
    switch (status) {
    case SOUP_STATUS_OK:
    case SOUP_STATUS_CREATED:
    case SOUP_STATUS_NO_CONTENT:
        return {};
    case SOUP_STATUS_CONFLICT:
        return verb == PlatformVerb::Create ? Errc::AlreadyExists : Errc::Conflict;
    case SOUP_STATUS_NOT_FOUND:
        return Errc::NotFound;
    case SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE:
        return Errc::TooLarge;
    case TooManyRequests:
        return Errc::Overloaded;
    default:
        return status >= SOUP_STATUS_INTERNAL_SERVER_ERROR ? Errc::PlatformUnavailable : Errc::MalformedMessage;
    }
}

bool readAnswer(PlatformReply &reply, const std::string &kind, PlatformVerb verb, const Json::Value &json)
{
    if (verb == PlatformVerb::Delete) {
        return true;
    }
    if (verb != PlatformVerb::List) {
        std::optional<PlatformObject> object = objectFromJson(kind, json);
        if (!object) {
            return false;
        }
        reply.object = std::move(*object);
        return true;
    }
    const std::optional<std::uint64_t> version = versionFrom(json["metadata"]["resourceVersion"]);
    if (!version || !json["items"].isArray()) {
        return false;
    }
    reply.listVersion = *version;
    for (const Json::Value &item : json["items"]) {
        std::optional<PlatformObject> object = objectFromJson(kind, item);
        if (!object) {
            return false;
        }
        reply.items.push_back(std::move(*object));
    }
    return true;
}

PlatformReply replyOf(unsigned status, const std::string &kind, PlatformVerb verb, const char *body, std::size_t size)
{
    PlatformReply reply;
    reply.error = errorOf(status, verb);
    const bool write = isWrite(verb);
    if (reply.error) {
        // A server error may come from a proxy whose backend has executed the write.
        reply.verdict = write && reply.error == Errc::PlatformUnavailable ? Verdict::MayHaveRun : Verdict::NotRun;
        return reply;
    }
    const std::optional<Json::Value> json = parseJson(body, size);
    const bool readable = verb == PlatformVerb::Delete || (json && json->isMember("metadata") && readAnswer(reply, kind, verb, *json));
    if (!readable) {
        reply.error = Errc::MalformedMessage;
    }
    reply.verdict = !write ? Verdict::NotRun : readable ? Verdict::Ran : Verdict::MayHaveRun;
    return reply;
}

struct CallInFlight {
    std::weak_ptr<void> owner;
    GRef<SoupMessage> message;
    std::string kind;
    PlatformVerb verb = PlatformVerb::Get;
    std::size_t maxBytes = 0;
    ReplyHandler done;
};

void onCallDone(GObject *session, GAsyncResult *result, void *data)
{
    const std::unique_ptr<CallInFlight> call(static_cast<CallInFlight *>(data));
    GError *raw = nullptr;
    const BytesRef body(soup_session_send_and_read_finish(SOUP_SESSION(session), result, &raw));
    const ErrorRef error(raw);
    if (call->owner.expired()) {
        return;
    }
    if (error) {
        call->done(replyOf(*error, isWrite(call->verb)), monotonicNow());
        return;
    }
    std::size_t size = 0;
    const auto *bytes = static_cast<const char *>(g_bytes_get_data(body.get(), &size));
    PlatformReply reply = size > call->maxBytes ? PlatformReply{ .error = Errc::TooLarge, .object = {}, .items = {} }
                                                : replyOf(soup_message_get_status(call->message.get()), call->kind, call->verb, bytes, size);
    call->done(std::move(reply), monotonicNow());
}

/// An open watch. Shared with its pending asynchronous operations.
struct OpenWatch {
    std::string kind;
    GRef<SoupMessage> message;
    GRef<GCancellable> cancellable;
    GRef<GDataInputStream> lines;
    WatchHandler handler; ///< Empty once the watch has ended or was cancelled.

    void end(WatchEventType type)
    {
        if (const WatchHandler last = std::exchange(handler, nullptr)) {
            last({ .type = type, .object = {} }, monotonicNow());
        }
    }
};

using WatchRef = std::shared_ptr<OpenWatch>;

void readLine(const WatchRef &watch);

/// Handles one line of the event stream. Returns false when the watch has ended.
bool onLine(OpenWatch &watch, const char *line, std::size_t size)
{
    const std::optional<Json::Value> json = parseJson(line, size);
    if (!json) {
        watch.end(WatchEventType::Closed);
        return false;
    }
    const std::string type = (*json)["type"].isString() ? (*json)["type"].asString() : std::string();
    if (type == "BOOKMARK") {
        return true;
    }
    if (type == "ERROR") {
        const Json::Value &code = (*json)["object"]["code"];
        watch.end(code.isInt() && code.asInt() == SOUP_STATUS_GONE ? WatchEventType::Gone : WatchEventType::Closed);
        return false;
    }
    std::optional<PlatformObject> object = objectFromJson(watch.kind, (*json)["object"]);
    if (!object) {
        watch.end(WatchEventType::Closed);
        return false;
    }
    // The handler is copied, because it may cancel the watch, which clears the member.
    if (const WatchHandler handler = watch.handler) {
        handler({ .type = type == "DELETED" ? WatchEventType::Deleted : WatchEventType::Put, .object = std::move(*object) }, monotonicNow());
    }
    return watch.handler != nullptr;
}

void onLineRead(GObject *stream, GAsyncResult *result, void *data)
{
    const std::unique_ptr<WatchRef> watch(static_cast<WatchRef *>(data));
    gsize size = 0;
    GError *raw = nullptr;
    const std::unique_ptr<char, decltype(&g_free)> line(g_data_input_stream_read_line_finish(G_DATA_INPUT_STREAM(stream), result, &size, &raw), g_free);
    const ErrorRef error(raw);
    if (!line) {
        (*watch)->end(WatchEventType::Closed);
        return;
    }
    if (size == 0 || onLine(**watch, line.get(), size)) {
        readLine(*watch);
    }
}

void readLine(const WatchRef &watch)
{
    g_data_input_stream_read_line_async(watch->lines.get(), G_PRIORITY_DEFAULT, watch->cancellable.get(), &onLineRead, new WatchRef(watch));
}

void onWatchOpen(GObject *session, GAsyncResult *result, void *data)
{
    const std::unique_ptr<WatchRef> watch(static_cast<WatchRef *>(data));
    GError *raw = nullptr;
    const GRef<GInputStream> stream(soup_session_send_finish(SOUP_SESSION(session), result, &raw));
    const ErrorRef error(raw);
    const unsigned status = soup_message_get_status((*watch)->message.get());
    if (error || status != SOUP_STATUS_OK) {
        (*watch)->end(!error && status == SOUP_STATUS_GONE ? WatchEventType::Gone : WatchEventType::Closed);
        return;
    }
    (*watch)->lines.reset(g_data_input_stream_new(stream.get()));
    readLine(*watch);
}

} // namespace

std::optional<PlatformObject> objectFromJson(const std::string &kind, const Json::Value &json)
{
    if (!json.isObject() || !json["metadata"].isObject() || !json["metadata"]["name"].isString()) {
        return std::nullopt;
    }
    const Json::Value &metadata = json["metadata"];
    const std::optional<std::uint64_t> version = versionFrom(metadata["resourceVersion"]);
    if (!version) {
        return std::nullopt;
    }
    return PlatformObject{
        .kind = kind,
        .name = metadata["name"].asString(),
        .uid = metadata["uid"].isString() ? metadata["uid"].asString() : std::string(),
        .version = *version,
        .spec = json["spec"],
    };
}

struct SoupTransport::Impl {
    explicit Impl(SoupTransportOptions transportOptions)
        : options(std::move(transportOptions))
        , calls(soup_session_new_with_options("max-conns", options.maxConnections, "max-conns-per-host", options.maxConnections, "idle-timeout",
                                              options.idleTimeoutSeconds, "timeout", options.replyTimeoutSeconds, nullptr))
        , watching(soup_session_new_with_options("timeout", 0U, nullptr))
        , cancellable(g_cancellable_new())
    {
    }

    std::string uriOf(const std::string &kind, const std::string &name) const
    {
        std::string uri = "http://" + options.address + ApiPath + escaped(kind);
        if (!name.empty()) {
            uri += "/" + escaped(name);
        }
        return uri;
    }

    SoupTransportOptions options;
    GRef<SoupSession> calls;
    GRef<SoupSession> watching;
    GRef<GCancellable> cancellable;
    std::map<WatchId, WatchRef> watches;
    WatchId lastWatch = 0;
};

SoupTransport::SoupTransport(SoupTransportOptions options)
    : impl_(std::make_shared<Impl>(std::move(options)))
{
}

SoupTransport::~SoupTransport()
{
    g_cancellable_cancel(impl_->cancellable.get());
    while (!impl_->watches.empty()) {
        cancelWatch(impl_->watches.begin()->first);
    }
}

void SoupTransport::call(PlatformCall call, ReplyHandler done)
{
    const bool write = isWrite(call.verb);
    std::string uri = impl_->uriOf(call.kind, call.verb == PlatformVerb::List ? std::string() : call.name);
    if (call.verb == PlatformVerb::Delete) {
        uri += "?resourceVersion=" + std::to_string(call.baseVersion);
    }
    GRef<SoupMessage> message(soup_message_new(methodOf(call.verb), uri.c_str()));
    if (!message) {
        done({ .error = Errc::InvalidSettings, .object = {}, .items = {} }, monotonicNow());
        return;
    }
    if (write) {
        // On a reused connection libsoup retries a PUT automatically when the connection breaks. If the first attempt of a
        // conditional update took effect, the retry fails with a conflict, which would hide that the update took effect.
        soup_message_add_flags(message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    }
    if (write && call.verb != PlatformVerb::Delete) {
        Json::Value json(Json::objectValue);
        json["metadata"]["name"] = call.name;
        if (call.verb == PlatformVerb::Update) {
            json["metadata"]["resourceVersion"] = std::to_string(call.baseVersion);
        }
        json["spec"] = std::move(call.spec);
        const std::string text = writeJson(json);
        const BytesRef body(g_bytes_new(text.data(), text.size()));
        soup_message_set_request_body_from_bytes(message.get(), "application/json", body.get());
    }
    SoupMessage *raw = message.get();
    auto flight = std::make_unique<CallInFlight>(CallInFlight{ .owner = impl_,
                                                               .message = std::move(message),
                                                               .kind = std::move(call.kind),
                                                               .verb = call.verb,
                                                               .maxBytes = impl_->options.maxReplyBytes,
                                                               .done = std::move(done) });
    soup_session_send_and_read_async(impl_->calls.get(), raw, G_PRIORITY_DEFAULT, impl_->cancellable.get(), &onCallDone, flight.release());
}

WatchId SoupTransport::watch(std::string kind, std::uint64_t from, WatchHandler onEvent)
{
    const std::string uri = impl_->uriOf(kind, {}) + "?watch=true&resourceVersion=" + std::to_string(from);
    const auto watch = std::make_shared<OpenWatch>();
    watch->kind = std::move(kind);
    watch->message.reset(soup_message_new(SOUP_METHOD_GET, uri.c_str()));
    watch->cancellable.reset(g_cancellable_new());
    watch->handler = std::move(onEvent);
    const WatchId id = ++impl_->lastWatch;
    std::erase_if(impl_->watches, [](const auto &entry) { return entry.second->handler == nullptr; });
    impl_->watches[id] = watch;
    soup_session_send_async(impl_->watching.get(), watch->message.get(), G_PRIORITY_DEFAULT, watch->cancellable.get(), &onWatchOpen, new WatchRef(watch));
    return id;
}

void SoupTransport::cancelWatch(WatchId id)
{
    const auto found = impl_->watches.find(id);
    if (found == impl_->watches.end()) {
        return;
    }
    const WatchRef watch = found->second;
    impl_->watches.erase(found);
    watch->handler = nullptr;
    g_cancellable_cancel(watch->cancellable.get());
}

} // namespace Carobhall
