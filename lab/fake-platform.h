/// In-memory `ObjectApi` for tests and the laboratory's commands.
#pragma once

#include <list>

#include "object-store.h"

namespace oriolelever::lab {

/// Answers when `deliver` runs, in the order of the calls, so that a test decides on the interleaving.
/// Faults hold for calls made while they are set.
class FakePlatform : public ObjectApi
{
public:
    struct Faults
    {
        bool down = false; ///< Nothing is written; calls answer `PlatformUnreachable`.
        bool throttled = false; ///< Nothing is written; calls answer `PlatformThrottled`.
        int loseWriteAnswers = 0; ///< So many writes take effect but answer `PlatformOutcomeUnknown`.
        int dropWrites = 0; ///< So many writes take no effect and answer `PlatformOutcomeUnknown`.
    };

    ObjectStore store;
    Faults faults;
    std::uint64_t calls = 0;

    void read(std::string kind, std::string name, Done<Object> done) override
    {
        answer<Object>([=, this] { return store.read(kind, name); }, std::move(done));
    }

    void list(std::string kind, Done<ObjectList> done) override
    {
        answer<ObjectList>([=, this] { return Answer<ObjectList>(store.list(kind)); }, std::move(done));
    }

    void write(Object object, std::string change, Done<Object> done) override
    {
        appendChange(object.changes, change);
        answerWrite<Object>([=, this] { return store.write(object); }, std::move(done));
    }

    void remove(Object object, Done<std::uint64_t> done) override
    {
        answerWrite<std::uint64_t>(
            [=, this] { return store.remove(object.kind, object.name, object.version); }, std::move(done));
    }

    /// Answers at once when there are events or when the watch must restart; otherwise after the next write,
    /// or by `endWatches`.
    void watch(std::vector<std::string> kinds, std::uint64_t after, std::chrono::milliseconds,
               Done<WatchBatch> done) override
    {
        ++calls;
        if (faults.down) {
            m_queue.push_back([done = std::move(done)] {
                done(Error{Code::PlatformUnreachable, "the platform cannot be reached"});
            });
            return;
        }
        m_watches.push_back({std::move(kinds), after, std::move(done)});
    }

    /// Runs answers until none is due; returns how many ran.
    std::size_t deliver()
    {
        std::size_t count = 0;
        for (wakeWatches(); !m_queue.empty(); wakeWatches()) {
            const auto run = std::move(m_queue.front());
            m_queue.pop_front();
            run();
            ++count;
        }
        return count;
    }

    /// Ends all waiting watches without events, as their time limit does.
    void endWatches()
    {
        for (auto &watch : m_watches) {
            m_queue.push_back(
                [done = std::move(watch.done), after = watch.after] { done(WatchBatch{.revision = after}); });
        }
        m_watches.clear();
    }

private:
    struct Watch
    {
        std::vector<std::string> kinds;
        std::uint64_t after = 0;
        Done<WatchBatch> done;
    };

    // The fault is fixed by the call; the effect happens at delivery, as if the call were on its way.
    template<typename T, typename Effect>
    void answer(Effect effect, Done<T> done)
    {
        ++calls;
        if (faults.down) {
            m_queue.push_back([done] {
                done(Error{Code::PlatformUnreachable, "the platform cannot be reached"});
            });
        } else if (faults.throttled) {
            m_queue.push_back([done] {
                done(Error{Code::PlatformThrottled, "the platform's rate refused it"});
            });
        } else {
            m_queue.push_back([effect, done] { done(effect()); });
        }
    }

    template<typename T, typename Effect>
    void answerWrite(Effect effect, Done<T> done)
    {
        const Error unknown{Code::PlatformOutcomeUnknown, "the answer to the write was lost"};
        if (faults.dropWrites > 0) {
            --faults.dropWrites;
            answer<T>([unknown] { return Answer<T>(unknown); }, std::move(done));
        } else if (faults.loseWriteAnswers > 0) {
            --faults.loseWriteAnswers;
            answer<T>(
                [effect, unknown] {
                    effect();
                    return Answer<T>(unknown);
                },
                std::move(done));
        } else {
            answer<T>(effect, std::move(done));
        }
    }

    void wakeWatches()
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            auto batch = store.changes(watch->kinds, watch->after);
            if (batch.events.empty() && !batch.restart) {
                ++watch;
                continue;
            }
            m_queue.push_back([done = std::move(watch->done), batch = std::move(batch)] { done(batch); });
            watch = m_watches.erase(watch);
        }
    }

    std::list<std::function<void()>> m_queue;
    std::list<Watch> m_watches;
};

} // namespace oriolelever::lab
