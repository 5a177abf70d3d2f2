#include "history.h"

#include <map>
#include <set>

#include <fmt/format.h>

namespace oriolelever::lab {

namespace {

// What the checker knows of one request.
struct Track
{
    bool idempotent = false;
    std::vector<TimePoint> runs;
    std::set<std::uint64_t> ranSubmissions;
    std::vector<HistoryEvent> refusals;
    std::set<std::uint64_t> open; ///< Submissions without an outcome.
    HistoryKind last = HistoryKind::Submitted; ///< Latest outcome.
    bool mayHaveRun = false; ///< Some submission ended as unknown or broken.
    bool answered = false;
};

class Checker
{
public:
    HistoryFigures check(const std::vector<HistoryEvent> &history)
    {
        for (const auto &event : history) {
            note(event);
        }
        for (const auto &[request, track] : m_tracks) {
            judge(request, track);
        }
        return m_figures;
    }

private:
    void fault(std::uint64_t &counter, std::uint64_t request, std::string_view text)
    {
        ++counter;
        m_figures.faults.push_back(fmt::format("request {}: {}", request, text));
    }

    void note(const HistoryEvent &event)
    {
        auto &track = m_tracks[event.request];
        switch (event.kind) {
        case HistoryKind::Submitted:
            track.idempotent = event.idempotent;
            track.open.insert(event.submission);
            return;
        case HistoryKind::RunStarted:
            track.runs.push_back(event.time);
            track.ranSubmissions.insert(event.submission);
            return;
        case HistoryKind::Answered:
            noteAnswer(event, track);
            break;
        case HistoryKind::Refused:
            track.refusals.push_back(event);
            break;
        case HistoryKind::Unknown:
        case HistoryKind::Broken:
            track.mayHaveRun = true;
            break;
        case HistoryKind::Ended:
            return;
        }
        track.open.erase(event.submission);
        track.last = event.kind;
    }

    void noteAnswer(const HistoryEvent &event, Track &track)
    {
        track.answered = true;
        if (event.content != event.request) {
            fault(m_figures.wrongAnswers, event.request, "got the answer of another request");
        } else if (!event.whole) {
            fault(m_figures.wrongAnswers, event.request, "got a partial answer as whole");
        }
    }

    void judge(std::uint64_t request, const Track &track)
    {
        ++m_figures.sent;
        for (std::size_t i = 1; i < track.runs.size() && !track.idempotent; ++i) {
            fault(m_figures.doubled, request, "ran again");
        }
        for (const auto &refusal : track.refusals) {
            const bool self = track.ranSubmissions.contains(refusal.submission);
            const bool earlier = !track.idempotent && refusal.speaksForKey && !track.runs.empty()
                && track.runs.front() <= refusal.time;
            if (self || earlier) {
                fault(m_figures.falseRefusals, request, "was refused as not run, but ran");
            }
        }
        if (track.answered) {
            ++m_figures.answeredWhole;
        } else if (!track.open.empty()) {
            fault(m_figures.lost, request, "a submission has no outcome");
        } else if (track.last == HistoryKind::Broken) {
            fault(m_figures.lost, request, "ended without an outcome");
        } else if (track.mayHaveRun) {
            ++m_figures.outcomeUnknown;
        } else {
            ++m_figures.refusedNotRun;
        }
    }

    std::map<std::uint64_t, Track> m_tracks;
    HistoryFigures m_figures;
};

} // namespace

HistoryFigures checkHistory(const std::vector<HistoryEvent> &history)
{
    return Checker().check(history);
}

} // namespace oriolelever::lab
