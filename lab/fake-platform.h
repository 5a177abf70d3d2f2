/// In-memory `ObjectApi` for tests and the laboratory's commands.
#pragma once

#include <list>

#include "object-store.h"

namespace oriolelever::lab {

/// Answers calls in their order when `deliver` runs, so that a test controls how calls interleave. Faults
/// apply to calls that are made while they are set.
class FakePlatform : public ObjectApi
{
public:
    struct Faults
    {
        bool down = false; ///< Nothing is written; calls answer `PlatformUnreachable`.
        bool throttled = false; ///< Nothing is written; calls answer `PlatformThrottled`.
        int loseWriteAnswers = 0; ///< So many next writes take effect but answer `PlatformOutcomeUnknown`.
        int dropWrites = 0; ///< So many next writes have no effect and answer `PlatformOutcomeUnknown`.
    };

    ObjectStore store;
    Faults faults;
    std::uint64_t calls = 0;

    void read(std::string kind, std::string name, Done<Object> done) override
    {
        queueAnswer<Object>([=, this] { return store.read(kind, name); }, std::move(done));
    }

    void list(std::string kind, Done<ObjectList> done) override
    {
        queueAnswer<ObjectList>([=, this] { return Answer<ObjectList>(store.list(kind)); }, std::move(done));
    }

    void write(Object object, std::string change, Done<Object> done) override
    {
        appendChange(object.changes, change);
        queueWriteAnswer<Object>([=, this] { return store.write(object); }, std::move(done));
    }

    void remove(Object object, Done<std::uint64_t> done) override
    {
        queueWriteAnswer<std::uint64_t>(
            [=, this] { return store.remove(object.kind, object.name, object.version); }, std::move(done));
    }

    /// Answers in the next `deliver` if there are events or the watch must restart, otherwise after the next
    /// write of a watched kind or by `endWatches`.
    void watch(std::vector<std::string> kinds, StorePosition after, std::chrono::milliseconds,
               Done<WatchBatch> done) override
    {
        ++calls;
        if (faults.down) {
            m_pendingAnswers.push_back([done = std::move(done)] {
                done(Error{Code::PlatformUnreachable, "the platform cannot be reached"});
            });
            return;
        }
        m_watches.push_back({std::move(kinds), after, std::move(done)});
    }

    /// Sends pending answers, and those that result from them, until none is left; returns their number.
    std::size_t deliver()
    {
        std::size_t count = 0;
        for (queueWatchAnswers(); !m_pendingAnswers.empty(); queueWatchAnswers()) {
            const auto run = std::move(m_pendingAnswers.front());
            m_pendingAnswers.pop_front();
            run();
            ++count;
        }
        return count;
    }

    /// Answers all waiting watches without events, as their timeout does.
    void endWatches()
    {
        for (auto &watch : m_watches) {
            m_pendingAnswers.push_back(
                [done = std::move(watch.done), after = watch.after] { done(WatchBatch{.position = after}); });
        }
        m_watches.clear();
    }

private:
    struct Watch
    {
        std::vector<std::string> kinds;
        StorePosition after;
        Done<WatchBatch> done;
    };

    // The call selects the fault; `effect` runs at delivery, as if the call were in transit until then.
    template<typename T, typename Effect>
    void queueAnswer(Effect effect, Done<T> done)
    {
        ++calls;
        if (faults.down) {
            m_pendingAnswers.push_back([done] {
                done(Error{Code::PlatformUnreachable, "the platform cannot be reached"});
            });
        } else if (faults.throttled) {
            m_pendingAnswers.push_back([done] {
                done(Error{Code::PlatformThrottled, "the platform's rate limit refused the call"});
            });
        } else {
            m_pendingAnswers.push_back([effect, done] { done(effect()); });
        }
    }

    template<typename T, typename Effect>
    void queueWriteAnswer(Effect effect, Done<T> done)
    {
        const Error outcomeUnknown{Code::PlatformOutcomeUnknown, "the answer to the write was lost"};
        if (faults.dropWrites > 0) {
            --faults.dropWrites;
            queueAnswer<T>([outcomeUnknown] { return Answer<T>(outcomeUnknown); }, std::move(done));
        } else if (faults.loseWriteAnswers > 0) {
            --faults.loseWriteAnswers;
            queueAnswer<T>(
                [effect, outcomeUnknown] {
                    effect();
                    return Answer<T>(outcomeUnknown);
                },
                std::move(done));
        } else {
            queueAnswer<T>(effect, std::move(done));
        }
    }

    void queueWatchAnswers()
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            auto batch = store.changes(watch->kinds, watch->after.revision);
            if (batch.events.empty() && !batch.restart) {
                ++watch;
                continue;
            }
            m_pendingAnswers.push_back(
                [done = std::move(watch->done), batch = std::move(batch)] { done(batch); });
            watch = m_watches.erase(watch);
        }
    }

    std::list<std::function<void()>> m_pendingAnswers;
    std::list<Watch> m_watches;
};

} // namespace oriolelever::lab
