#include "carobhall/event_stream.h"

#include <utility>

namespace Carobhall
{

namespace
{

/// The offset just past the first blank line that ends an event in \p text; npos when there is none. Lines end with LF or CRLF.
std::size_t endOfEvent(std::string_view text)
{
    std::size_t lineStart = 0;
    for (;;) {
        const std::size_t newline = text.find('\n', lineStart);
        if (newline == std::string_view::npos) {
            return std::string_view::npos;
        }
        const std::size_t length = newline - lineStart;
        const bool blank = length == 0 || (length == 1 && text[lineStart] == '\r');
        if (blank && lineStart > 0) {
            return newline + 1;
        }
        lineStart = newline + 1;
    }
}

void readFields(StreamEvent &event)
{
    std::string_view text = event.text;
    while (!text.empty()) {
        const std::size_t newline = text.find('\n');
        std::string_view line = text.substr(0, newline);
        text.remove_prefix(newline == std::string_view::npos ? text.size() : newline + 1);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        const std::size_t colon = line.find(':');
        const std::string_view name = line.substr(0, colon);
        std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        if (name == "id") {
            event.id = std::string(value);
        } else if (name == "data") {
            event.hasData = true;
        }
    }
}

} // namespace

bool EventSplitter::add(std::string_view bytes)
{
    buffer_.append(bytes);
    return buffer_.size() <= MaxEventBytes;
}

std::optional<StreamEvent> EventSplitter::next()
{
    const std::size_t end = endOfEvent(buffer_);
    if (end == std::string::npos) {
        return std::nullopt;
    }
    StreamEvent event{ .text = buffer_.substr(0, end), .id = std::nullopt };
    buffer_.erase(0, end);
    readFields(event);
    return event;
}

bool EventSplitter::hasPartialEvent() const
{
    return !buffer_.empty();
}

std::string EventSplitter::takePartialEvent()
{
    return std::exchange(buffer_, {});
}

} // namespace Carobhall
