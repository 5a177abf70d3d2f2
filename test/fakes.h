/// Fakes at the interfaces that several tests share.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include <asio/post.hpp>

#include "oriolelever/platform.h"

namespace oriolelever {

/// Object API in memory that can be down, answer with what it held earlier, or lose answers to writes.
class FakeObjects : public ObjectApi
{
public:
    explicit FakeObjects(asio::io_context &context)
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
        m_log.push_back({object, false});
        ++writes;
        if (std::exchange(loseNextAnswer, false)) {
            answer<Object>(std::move(done), Error{Code::PlatformOutcomeUnknown, "answer lost"});
        } else {
            answer<Object>(std::move(done), object);
        }
        wake();
    }

    void remove(Object object, Done<std::uint64_t> done) override
    {
        m_objects.erase({object.kind, object.name});
        object.version = ++revision;
        m_log.push_back({object, true});
        answer<std::uint64_t>(std::move(done), revision);
        wake();
    }

    void watch(std::vector<std::string> kinds, std::uint64_t after, std::chrono::milliseconds,
               Done<WatchBatch> done) override
    {
        ++watches;
        if (down) {
            answer<WatchBatch>(std::move(done), Error{Code::PlatformUnreachable, "down"});
            return;
        }
        m_waiting.push_back({std::move(kinds), after, std::move(done)});
        wake();
    }

    /// Ends the waiting watches as an outage does.
    void endWatches()
    {
        for (auto &waiting : std::exchange(m_waiting, {})) {
            answer<WatchBatch>(std::move(waiting.done), Error{Code::PlatformUnreachable, "down"});
        }
    }

    void put(const std::string &kind, const std::string &name, const std::string &json)
    {
        const auto found = m_objects.find({kind, name});
        Object object{.kind = kind, .name = name, .value = nlohmann::json::parse(json)};
        object.version = found == m_objects.end() ? 0 : found->second.version;
        write(std::move(object), "test", [](const Answer<Object> &) {});
    }

    std::uint64_t revision = 0;
    std::size_t writes = 0;
    std::size_t watches = 0;
    bool down = false;
    bool loseNextAnswer = false;

private:
    struct Waiting
    {
        std::vector<std::string> kinds;
        std::uint64_t after = 0;
        Done<WatchBatch> done;
    };

    template<typename T>
    void answer(Done<T> done, Answer<T> given)
    {
        if (down) {
            given = Error{Code::PlatformUnreachable, "down"};
        }
        asio::post(m_context, [done = std::move(done), given = std::move(given)] { done(given); });
    }

    ObjectList objectsOf(const std::string &kind) const
    {
        ObjectList list{.revision = revision};
        for (const auto &[key, object] : m_objects) {
            if (key.first == kind) {
                list.objects.push_back(object);
            }
        }
        return list;
    }

    void wake()
    {
        std::vector<Waiting> still;
        for (auto &waiting : std::exchange(m_waiting, {})) {
            WatchBatch batch{.revision = revision};
            for (const auto &event : m_log) {
                const bool kept = std::find(waiting.kinds.begin(), waiting.kinds.end(), event.object.kind)
                    != waiting.kinds.end();
                if (kept && event.object.version > waiting.after) {
                    batch.events.push_back(event);
                }
            }
            if (batch.events.empty()) {
                still.push_back(std::move(waiting));
            } else {
                answer<WatchBatch>(std::move(waiting.done), batch);
            }
        }
        m_waiting.insert(m_waiting.end(), still.begin(), still.end());
    }

    asio::io_context &m_context;
    std::map<std::pair<std::string, std::string>, Object> m_objects;
    std::vector<WatchEvent> m_log;
    std::vector<Waiting> m_waiting;
};

} // namespace oriolelever
