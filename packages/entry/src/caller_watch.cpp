#include "caller_watch.h"

#include <utility>

namespace Carobhall
{

CallerWatch::~CallerWatch()
{
    stop();
}

void CallerWatch::start(GSocket *socket, std::function<void()> onDisconnected)
{
    stop();
    onDisconnected_ = std::move(onDisconnected);
    source_ = g_socket_create_source(socket, G_IO_IN, nullptr);
    g_source_set_callback(source_, reinterpret_cast<GSourceFunc>(reinterpret_cast<void (*)()>(&CallerWatch::onReadable)), this, nullptr);
    g_source_attach(source_, nullptr);
}

void CallerWatch::stop()
{
    if (GSource *const source = std::exchange(source_, nullptr); source != nullptr) {
        g_source_destroy(source);
        g_source_unref(source);
    }
}

gboolean CallerWatch::onReadable(GSocket *socket, GIOCondition /*condition*/, gpointer self)
{
    char byte = 0;
    GInputVector buffer{ &byte, 1 };
    int flags = G_SOCKET_MSG_PEEK;
    GError *error = nullptr;
    const gssize count = g_socket_receive_message(socket, nullptr, &buffer, 1, nullptr, nullptr, &flags, nullptr, &error);
    const bool wouldBlock = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != FALSE;
    g_clear_error(&error);
    if (wouldBlock) {
        return G_SOURCE_CONTINUE;
    }
    auto *const watch = static_cast<CallerWatch *>(self);
    const std::function<void()> onDisconnected = std::move(watch->onDisconnected_);
    watch->stop();
    if (count <= 0) {
        onDisconnected(); // May destroy this object.
    }
    return G_SOURCE_REMOVE;
}

} // namespace Carobhall
