#pragma once

// Splits a text/event-stream body into whole events, so that a broken stream can go on elsewhere without a torn event.

#include "carobhall/base.h"

namespace Carobhall
{

struct StreamEvent {
    std::string text{};              ///< The event with the blank line that ends it, byte for byte.
    std::optional<std::string> id{}; ///< The id field.
    bool hasData = false;            ///< Not only comments.
};

/// Not thread-safe.
class EventSplitter
{
public:
    /// Adds bytes of the body. Returns false when an event is longer than MaxEventBytes.
    bool add(std::string_view bytes);
    /// The next whole event, or nothing.
    [[nodiscard]] std::optional<StreamEvent> next();
    /// Whether bytes of an unfinished event are held.
    [[nodiscard]] bool hasRest() const;
    /// Takes the bytes that follow the last whole event.
    [[nodiscard]] std::string takeRest();

private:
    /// Events of the described installations have up to 300 bytes a piece and a few pieces.
    static constexpr std::size_t MaxEventBytes = std::size_t{ 1 } << 20U;

    std::string buffer_;
};

} // namespace Carobhall
