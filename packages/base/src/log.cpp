#include "carobhall/base.h"

#include <log4cplus/appender.h>
#include <log4cplus/config.hxx>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <charconv>
#include <fcntl.h>
#include <sstream>
#include <type_traits>
#include <unistd.h>

namespace Carobhall
{

namespace
{

struct LogState {
    log4cplus::Initializer initializer;
    log4cplus::Logger logger = log4cplus::Logger::getInstance("carobhall");
    std::string process;
};

LogState &logState()
{
    // Never destroyed, so that threads that log during process exit do not access a destroyed logger.
    static auto *const state = new LogState;
    return *state;
}

log4cplus::LogLevel toLog4cplusLevel(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

constexpr const char *LinePattern = "time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n";

/// Appender that writes to standard output without blocking and limits the rate of lines.
class OutputAppender final : public log4cplus::Appender
{
public:
    explicit OutputAppender(unsigned linesPerSecond)
        : linesPerSecond_(linesPerSecond)
    {
        (void)fcntl(STDOUT_FILENO, F_SETFL, fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK); // NOLINT: POSIX interface.
    }
    ~OutputAppender() override
    {
        destructorImpl();
    }
    void close() override
    {
        closed = true;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override
    {
        const Micros now = monotonicNow();
        if (now - windowStart_ >= MicrosPerSecond) {
            windowStart_ = now;
            linesInWindow_ = 0;
        }
        if (++linesInWindow_ > linesPerSecond_) {
            ++droppedLines_;
            return;
        }
        log4cplus::tostringstream text;
        if (droppedLines_ > 0) {
            text << "level=WARN event=log_lines_dropped count=" << droppedLines_ << '\n';
        }
        layout->formatAndAppend(text, event);
        const std::string line = text.str();
        // Writes of at most PIPE_BUF bytes to a pipe are atomic: such a line is written completely or not at all.
        const bool written = ::write(STDOUT_FILENO, line.data(), line.size()) == static_cast<ssize_t>(line.size());
        droppedLines_ = written ? 0 : droppedLines_ + 1;
    }

private:
    unsigned linesPerSecond_;
    unsigned linesInWindow_ = 0;
    Micros windowStart_ = 0;
    std::uint64_t droppedLines_ = 0;
};

bool needsQuotes(std::string_view text)
{
    return text.empty() || text.find_first_of(" \t\r\n\"=\\") != std::string_view::npos;
}

void appendQuoted(std::string &line, std::string_view text)
{
    if (!needsQuotes(text)) {
        line += text;
        return;
    }
    line += '"';
    for (const char c : text) {
        if (c == '\n') {
            line += "\\n";
        } else if (c == '\r') {
            line += "\\r";
        } else {
            if (c == '"' || c == '\\') {
                line += '\\';
            }
            line += c;
        }
    }
    line += '"';
}

template<typename Value>
void appendValue(std::string &line, const Value &value)
{
    if constexpr (std::is_same_v<Value, std::string_view>) {
        appendQuoted(line, value);
    } else if constexpr (std::is_same_v<Value, bool>) {
        line += value ? "true" : "false";
    } else {
        std::array<char, 32> digits{};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        line.append(digits.data(), end);
    }
}

} // namespace

LogField::LogField(std::string_view k, const std::error_code &v)
    : key(k)
    , value(!v                                    ? std::string_view("none")
                : v.category() == errorCategory() ? nameOf(static_cast<Errc>(v.value()))
                                                  : std::string_view(v.category().name()))
{
}

std::string formatLogLine(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=";
    appendQuoted(line, event);
    for (const LogField &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        std::visit([&line](const auto &value) { appendValue(line, value); }, field.value);
    }
    return line;
}

void initLogging(std::string_view process, LogLevel level)
{
    LogState &state = logState();
    state.process = process;
    log4cplus::SharedAppenderPtr appender(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
    state.logger.removeAllAppenders();
    state.logger.addAppender(appender);
    state.logger.setAdditivity(false);
    state.logger.setLogLevel(toLog4cplusLevel(level));
}

void initOutputLogging(std::string_view process, LogLevel level, unsigned linesPerSecond)
{
    LogState &state = logState();
    state.process = process;
    log4cplus::SharedAppenderPtr appender(new OutputAppender(linesPerSecond));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>(LinePattern));
    state.logger.removeAllAppenders();
    state.logger.addAppender(appender);
    state.logger.setAdditivity(false);
    state.logger.setLogLevel(toLog4cplusLevel(level));
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    LogState &state = logState();
    const log4cplus::LogLevel logLevel = toLog4cplusLevel(level);
    if (!state.logger.isEnabledFor(logLevel)) {
        return;
    }
    state.logger.forcedLog(logLevel, "process=" + state.process + " " + formatLogLine(event, fields));
}

} // namespace Carobhall
