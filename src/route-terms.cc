#include "oriolelever/route-terms.h"

#include <algorithm>
#include <array>

namespace oriolelever {

namespace {

using std::chrono::milliseconds;

// 50 ms times the powers of the square root of 2. Index 0 stands for no time.
constexpr std::array<milliseconds, 16> encodableTimes{
    milliseconds(0),    milliseconds(50),   milliseconds(70),   milliseconds(100),
    milliseconds(141),  milliseconds(200),  milliseconds(282),  milliseconds(400),
    milliseconds(565),  milliseconds(800),  milliseconds(1131), milliseconds(1600),
    milliseconds(2262), milliseconds(3200), milliseconds(4525), milliseconds(6400)};
constexpr std::uint8_t codeMask = 0x0f;

} // namespace

std::uint8_t encodeTime(milliseconds time)
{
    const auto above = std::upper_bound(encodableTimes.begin() + 1, encodableTimes.end(), time);
    return static_cast<std::uint8_t>(above - encodableTimes.begin() - 1);
}

milliseconds decodeTime(std::uint8_t code)
{
    return encodableTimes[code & codeMask];
}

RouteTerms remainingTerms(const RouteTerms &terms, std::chrono::nanoseconds waited)
{
    const auto remaining = [&](milliseconds time) {
        const auto left = time - std::chrono::duration_cast<milliseconds>(waited);
        return time == milliseconds::zero() ? time : std::max(left, encodableTimes[1]);
    };
    auto result = terms;
    result.timeLimit = remaining(terms.timeLimit);
    result.latencyGoal = remaining(terms.latencyGoal);
    return result;
}

milliseconds roundToEncodable(milliseconds time)
{
    return decodeTime(encodeTime(time));
}

} // namespace oriolelever
