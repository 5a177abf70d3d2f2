/// The platform's objects in memory: what the stand-in and the fake have in common.
#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "oriolelever/platform.h"

namespace oriolelever::lab {

/// Versioned objects with one global revision and a bounded log of changes.
class ObjectStore
{
public:
    static constexpr std::size_t maxValueBytes = 1UL << 20;

    Answer<Object> read(const std::string &kind, const std::string &name) const;
    /// The objects whose names come after `after`, `most` of them at most, in the order of their names.
    ObjectList list(const std::string &kind, const std::string &after = {},
                    std::size_t most = SIZE_MAX) const;
    /// `object.value` and `object.changes` are stored if the version is `object.version`; 0 creates.
    Answer<Object> write(const Object &object);
    Answer<std::uint64_t> remove(const std::string &kind, const std::string &name, std::uint64_t version);
    /// Changes after `after`; `restart` once the log no longer reaches back.
    WatchBatch changes(const std::vector<std::string> &kinds, std::uint64_t after) const;
    /// Drops the log, so that every watch must restart.
    void dropLog();

    std::uint64_t revision() const
    {
        return m_revision;
    }

private:
    static constexpr std::size_t maxLog = 100'000;

    void log(WatchEvent event);

    std::map<std::string, std::map<std::string, Object>> m_kinds;
    std::deque<WatchEvent> m_log;
    std::uint64_t m_revision = 0;
    std::uint64_t m_dropped = 0; ///< Revision of the newest event that is no longer in the log.
};

} // namespace oriolelever::lab
