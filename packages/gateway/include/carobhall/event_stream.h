#pragma once

// Splits a text/event-stream body into complete events, so that a broken stream can resume at another upstream at an event
// boundary.

#include "carobhall/base.h"

namespace Carobhall
{

struct StreamEvent {
    std::string text{};              ///< The event, byte for byte, including the blank line that ends it.
    std::optional<std::string> id{}; ///< The id field.
    bool hasData = false;            ///< The event has a data field.
};

/// Not thread-safe.
class EventSplitter
{
public:
    /// Appends bytes of the body. Returns false when more than MaxEventBytes are buffered.
    bool add(std::string_view bytes);
    /// The next complete event, or nothing.
    [[nodiscard]] std::optional<StreamEvent> next();
    /// Whether bytes of an incomplete event are buffered.
    [[nodiscard]] bool hasPartialEvent() const;
    /// Takes the bytes that follow the last complete event.
    [[nodiscard]] std::string takePartialEvent();

private:
    /// Far above real events, which consist of a few pieces of up to 300 bytes.
    static constexpr std::size_t MaxEventBytes = std::size_t{ 1 } << 20U;

    std::string buffer_;
};

} // namespace Carobhall
