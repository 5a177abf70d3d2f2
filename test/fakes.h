/// Fake implementations of interfaces, shared by several tests.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include <asio/post.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

/// In-memory object API that can be unreachable or lose answers to writes.
class FakeObjectApi : public ObjectApi
{
public:
    explicit FakeObjectApi(asio::io_context &context)
        : m_context(context)
    {
    }

    void read(std::string kind, std::string name, Done<Object> done) override
    {
        const auto found = m_objects.find({kind, name});
        if (found == m_objects.end()) {
            answer<Object>(std::move(done), Error{Code::NotFound, "object does not exist"});
        } else {
            answer<Object>(std::move(done), found->second);
        }
    }

    void list(std::string kind, Done<ObjectList> done) override
    {
        answer<ObjectList>(std::move(done), objectsOf(kind));
    }

    void write(Object object, std::string change, Done<Object> done) override
    {
        const std::pair key(object.kind, object.name);
        const auto found = m_objects.find(key);
        const auto stored = found == m_objects.end() ? 0 : found->second.version;
        if (down) {
            answer<Object>(std::move(done), Error{Code::PlatformUnreachable, "down"});
            return;
        }
        if (stored != object.version) {
            answer<Object>(std::move(done), Error{Code::PlatformConflict, "changed"});
            return;
        }
        object.version = ++revision;
        object.changes.push_back(std::move(change));
        m_objects[key] = object;
        m_events.push_back({object, false});
        ++writes;
        if (std::exchange(loseNextAnswer, false)) {
            answer<Object>(std::move(done), Error{Code::PlatformOutcomeUnknown, "answer lost"});
        } else {
            answer<Object>(std::move(done), object);
        }
        answerWatches();
    }

    void remove(Object object, Done<std::uint64_t> done) override
    {
        m_objects.erase({object.kind, object.name});
        object.version = ++revision;
        m_events.push_back({object, true});
        answer<std::uint64_t>(std::move(done), revision);
        answerWatches();
    }

    void watch(std::vector<std::string> kinds, StorePosition after, std::chrono::milliseconds,
               Done<WatchBatch> done) override
    {
        ++watches;
        if (down) {
            answer<WatchBatch>(std::move(done), Error{Code::PlatformUnreachable, "down"});
            return;
        }
        m_waitingWatches.push_back({std::move(kinds), after, std::move(done)});
        answerWatches();
    }

    /// Fails all waiting watches with `PlatformUnreachable`.
    void endWatches()
    {
        for (auto &waiting : std::exchange(m_waitingWatches, {})) {
            answer<WatchBatch>(std::move(waiting.done), Error{Code::PlatformUnreachable, "down"});
        }
    }

    /// Writes an object without a version check.
    void put(const std::string &kind, const std::string &name, const std::string &json)
    {
        const auto found = m_objects.find({kind, name});
        Object object{.kind = kind, .name = name, .value = nlohmann::json::parse(json)};
        object.version = found == m_objects.end() ? 0 : found->second.version;
        write(std::move(object), "test", [](const Answer<Object> &) {});
    }

    std::uint64_t revision = 0; ///< Of the last change.
    std::size_t writes = 0; ///< Writes that took effect.
    std::size_t watches = 0; ///< Calls of `watch`.
    bool down = false; ///< All calls fail with `PlatformUnreachable`.
    bool loseNextAnswer = false; ///< The next write takes effect and answers `PlatformOutcomeUnknown`.

private:
    struct WaitingWatch
    {
        std::vector<std::string> kinds;
        StorePosition after;
        Done<WatchBatch> done;
    };

    template<typename T>
    void answer(Done<T> done, Answer<T> result)
    {
        if (down) {
            result = Error{Code::PlatformUnreachable, "down"};
        }
        asio::post(m_context, [done = std::move(done), result = std::move(result)] { done(result); });
    }

    ObjectList objectsOf(const std::string &kind) const
    {
        ObjectList list{.position = {.revision = revision}};
        for (const auto &[key, object] : m_objects) {
            if (key.first == kind) {
                list.objects.push_back(object);
            }
        }
        return list;
    }

    // Answers the watches for which there are events.
    void answerWatches()
    {
        std::vector<WaitingWatch> unansweredWatches;
        for (auto &waiting : std::exchange(m_waitingWatches, {})) {
            WatchBatch batch{.position = {.revision = revision}};
            for (const auto &event : m_events) {
                const bool isWatched
                    = std::find(waiting.kinds.begin(), waiting.kinds.end(), event.object.kind)
                    != waiting.kinds.end();
                if (isWatched && event.object.version > waiting.after.revision) {
                    batch.events.push_back(event);
                }
            }
            if (batch.events.empty()) {
                unansweredWatches.push_back(std::move(waiting));
            } else {
                answer<WatchBatch>(std::move(waiting.done), batch);
            }
        }
        m_waitingWatches.insert(m_waitingWatches.end(), unansweredWatches.begin(), unansweredWatches.end());
    }

    asio::io_context &m_context;
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<WatchEvent> m_events;
    std::vector<WaitingWatch> m_waitingWatches;
};

/// Records how long watches may wait.
class RecordingObjectApi : public FakeObjectApi
{
public:
    using FakeObjectApi::FakeObjectApi;

    void watch(std::vector<std::string> kinds, StorePosition after, std::chrono::milliseconds wait,
               Done<WatchBatch> done) override
    {
        waits.push_back(wait);
        FakeObjectApi::watch(std::move(kinds), after, wait, std::move(done));
    }

    std::vector<std::chrono::milliseconds> waits; ///< Of all watches, in their order.
};

} // namespace oriolelever
