#include "http_get.h"

#include <libsoup/soup.h>

namespace Carobhall::Cli
{

namespace
{

struct PendingRequest {
    HttpResponse response;
    bool done = false;
};

void onDone(GObject *session, GAsyncResult *result, gpointer data)
{
    auto &request = *static_cast<PendingRequest *>(data);
    request.done = true;
    SoupMessage *const message = soup_session_get_async_result_message(SOUP_SESSION(session), result);
    GBytes *const bytes = soup_session_send_and_read_finish(SOUP_SESSION(session), result, nullptr);
    if (bytes == nullptr) {
        return;
    }
    gsize size = 0;
    const void *const body = g_bytes_get_data(bytes, &size);
    request.response.status = static_cast<int>(soup_message_get_status(message));
    request.response.body.assign(static_cast<const char *>(body), size);
    g_bytes_unref(bytes);
}

gboolean onTimeout(gpointer cancellable)
{
    g_cancellable_cancel(static_cast<GCancellable *>(cancellable));
    return G_SOURCE_REMOVE;
}

} // namespace

HttpResponse httpGet(const std::string &address, const std::string &path, Micros timeout)
{
    SoupMessage *const message = soup_message_new(SOUP_METHOD_GET, ("http://" + address + path).c_str());
    if (message == nullptr) {
        return {};
    }
    GMainContext *const context = g_main_context_ref_thread_default();
    SoupSession *const session = soup_session_new();
    GCancellable *const cancellable = g_cancellable_new();
    GSource *const timer = g_timeout_source_new(static_cast<guint>(timeout / MicrosPerMilli));
    g_source_set_callback(timer, &onTimeout, cancellable, nullptr);
    g_source_attach(timer, context);
    PendingRequest request;
    soup_session_send_and_read_async(session, message, G_PRIORITY_DEFAULT, cancellable, &onDone, &request);
    while (!request.done) {
        g_main_context_iteration(context, TRUE);
    }
    g_source_destroy(timer);
    g_source_unref(timer);
    g_object_unref(cancellable);
    g_object_unref(session);
    g_object_unref(message);
    g_main_context_unref(context);
    return request.response;
}

} // namespace Carobhall::Cli
