/// What a backend server can bear, and the choice of a server for a new flow.
#pragma once

#include <random>
#include <span>

#include "oriolelever/placement.h"

namespace oriolelever {

/// Share of its full load that a server bears, from its own measured answers. A cold server starts at
/// `coldShare` and grows while its answers are good; bad answers make it cold again.
struct Warmth
{
    static constexpr double coldShare = 0.05;

    double share = coldShare; ///< In [coldShare, 1].
    TimePoint grownAt; ///< When `share` last grew or fell.
    double usualMillis = 0; ///< Moving average of good answer times; 0 before the first.
    std::uint32_t badAnswers = 0; ///< In a row.
};

/// One answer of the local server.
struct AnswerSample
{
    Duration time{0};
    bool failed = false; ///< Failed, or shed by the server.
};

/// Lets `share` grow for the time since it last did; a server is warm after `rampTime`.
void growWarmth(Warmth &warmth, std::chrono::milliseconds rampTime, TimePoint now);
/// Judges one answer. Two bad answers in a row make the server cold.
void noteAnswer(Warmth &warmth, const AnswerSample &sample, TimePoint now);

/// Bound on new flows: a token bucket whose rate is the server's full rate times its share.
struct Pace
{
    double tokens = 0;
    TimePoint filledAt;
};

/// Flows a second and burst that a warm server with this limit takes.
double fullRate(std::uint32_t connectionLimit);
/// Takes a token if one is there.
bool takePace(Pace &pace, double ratePerSecond, TimePoint now);

/// A server as the chooser sees it.
struct Candidate
{
    double flows = 0; ///< Open flows, with those placed since the last report.
    double limit = 0; ///< Flows that it bears now; 0 takes none.
    double weight
        = 0; ///< Share of new flows: zone weight, zone ramp and warmth; 0 takes none unless all are 0.
};

constexpr std::size_t noCandidate = SIZE_MAX;

/// Picks a server for a new flow: `self` while its load by weight is within `slack` of the mean, else a
/// server below the mean by its distance to it. Picks one whenever some server is under its limit;
/// `noCandidate` only if none is.
std::size_t chooseServer(std::span<const Candidate> candidates, std::size_t self, std::mt19937_64 &random);

/// Share of new flows of a server whose zone returned at `returned`.
double zoneShare(std::chrono::milliseconds rampTime, TimePoint returned, TimePoint now);

} // namespace oriolelever
