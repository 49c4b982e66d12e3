#include "carobhall/base.h"

#include <charconv>
#include <chrono>
#include <random>

namespace Carobhall
{

namespace
{

class ErrorCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "carobhall";
    }

    std::string message(int value) const override
    {
        return std::string(nameOf(static_cast<Errc>(value)));
    }
};

} // namespace

const std::error_category &errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(Errc code)
{
    return { static_cast<int>(code), errorCategory() };
}

Incarnation drawIncarnation()
{
    std::random_device device;
    Incarnation value = 0;
    while (value == 0) {
        value = (static_cast<std::uint64_t>(device()) << 32U) | device();
    }
    return value;
}

std::string toHex(std::uint64_t value)
{
    constexpr std::size_t digitCount = 16;
    std::array<char, digitCount> digits{};
    const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16);
    const auto length = static_cast<std::size_t>(end - digits.data());
    std::string text(digitCount - length, '0');
    text.append(digits.data(), length);
    return text;
}

std::string toString(const AttemptId &id)
{
    return toHex(id.entry) + "-" + std::to_string(id.number) + "-" + std::to_string(id.attempt);
}

Micros monotonicNow()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(steady_clock::now().time_since_epoch()).count();
}

Micros wallClockNow()
{
    using namespace std::chrono;
    return duration_cast<microseconds>(system_clock::now().time_since_epoch()).count();
}

} // namespace Carobhall
