#include "http_get.h"

namespace Carobhall
{

namespace
{

struct PendingGet {
    ObjectRef<SoupSession> session;
    ObjectRef<SoupMessage> message;
    ObjectRef<GCancellable> cancellable;
    std::function<void(HttpReply)> done;

    static void onReply(GObject * /*source*/, GAsyncResult *result, gpointer data)
    {
        const std::unique_ptr<PendingGet> pending(static_cast<PendingGet *>(data));
        GError *failure = nullptr;
        const std::unique_ptr<GBytes, decltype(&g_bytes_unref)> bytes(soup_session_send_and_read_finish(pending->session.get(), result, &failure),
                                                                      &g_bytes_unref);
        HttpReply reply;
        reply.timedOut = g_error_matches(failure, G_IO_ERROR, G_IO_ERROR_TIMED_OUT) != FALSE;
        g_clear_error(&failure);
        if (g_cancellable_is_cancelled(pending->cancellable.get()) != FALSE) {
            return;
        }
        if (bytes != nullptr) {
            gsize size = 0;
            const auto *const start = static_cast<const char *>(g_bytes_get_data(bytes.get(), &size));
            if (size > 0) {
                reply.body.assign(start, size);
            }
            reply.status = static_cast<int>(soup_message_get_status(pending->message.get()));
            const char *const incarnation = soup_message_headers_get_one(soup_message_get_response_headers(pending->message.get()), "Engine-Incarnation");
            reply.incarnation = incarnation == nullptr ? std::string() : std::string(incarnation);
        }
        pending->done(std::move(reply));
    }
};

} // namespace

void httpGet(SoupSession *session, const std::string &url, GCancellable *cancellable, std::function<void(HttpReply)> done)
{
    auto *const pending = new PendingGet{
        .session = refObject(session),
        .message = ObjectRef<SoupMessage>(soup_message_new("GET", url.c_str())),
        .cancellable = refObject(cancellable),
        .done = std::move(done),
    };
    soup_message_set_flags(pending->message.get(), SOUP_MESSAGE_NEW_CONNECTION);
    soup_session_send_and_read_async(session, pending->message.get(), G_PRIORITY_DEFAULT, cancellable, &PendingGet::onReply, pending);
}

} // namespace Carobhall
