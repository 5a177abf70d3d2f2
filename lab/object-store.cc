#include "object-store.h"

#include <algorithm>

#include <fmt/format.h>

namespace oriolelever::lab {

namespace {

Error notFound(const std::string &kind, const std::string &name)
{
    return {Code::NotFound, fmt::format("{} \"{}\" does not exist", kind, name)};
}

Error conflict(const std::string &kind, const std::string &name)
{
    return {Code::PlatformConflict, fmt::format("{} \"{}\" changed since it was read", kind, name)};
}

} // namespace

Answer<Object> ObjectStore::read(const std::string &kind, const std::string &name) const
{
    const auto objects = m_kinds.find(kind);
    if (objects == m_kinds.end() || !objects->second.contains(name)) {
        return notFound(kind, name);
    }
    return objects->second.at(name);
}

ObjectList ObjectStore::list(const std::string &kind, const std::string &after, std::size_t most) const
{
    ObjectList list{.position = {.revision = m_revision}};
    const auto objects = m_kinds.find(kind);
    if (objects == m_kinds.end()) {
        return list;
    }
    for (auto next = objects->second.upper_bound(after);
         next != objects->second.end() && list.objects.size() < most; ++next) {
        list.objects.push_back(next->second);
    }
    return list;
}

Answer<Object> ObjectStore::write(const Object &object)
{
    auto &objects = m_kinds[object.kind];
    const auto found = objects.find(object.name);
    const std::uint64_t version = found == objects.end() ? 0 : found->second.version;
    if (version != object.version) {
        return conflict(object.kind, object.name);
    }
    if (object.value.dump().size() > maxValueBytes) {
        return Error{
            Code::PlatformRefused,
            fmt::format("{} \"{}\" is larger than {} bytes", object.kind, object.name, maxValueBytes)};
    }
    auto stored = object;
    stored.version = ++m_revision;
    objects[object.name] = stored;
    log({stored, false});
    return stored;
}

Answer<std::uint64_t> ObjectStore::remove(const std::string &kind, const std::string &name,
                                          std::uint64_t version)
{
    auto &objects = m_kinds[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return notFound(kind, name);
    }
    if (found->second.version != version) {
        return conflict(kind, name);
    }
    objects.erase(found);
    ++m_revision;
    log({Object{.kind = kind, .name = name, .version = m_revision}, true});
    return m_revision;
}

void ObjectStore::log(WatchEvent event)
{
    m_log.push_back(std::move(event));
    if (m_log.size() > maxLog) {
        m_dropped = m_log.front().object.version;
        m_log.pop_front();
    }
}

void ObjectStore::dropLog()
{
    m_log.clear();
    m_dropped = m_revision;
}

WatchBatch ObjectStore::changes(const std::vector<std::string> &kinds, std::uint64_t after) const
{
    WatchBatch batch{.position = {.revision = m_revision}};
    if (after < m_dropped || after > m_revision) {
        batch.restart = true;
        return batch;
    }
    const auto first = std::ranges::upper_bound(m_log, after, {},
                                                [](const WatchEvent &event) { return event.object.version; });
    for (auto event = first; event != m_log.end(); ++event) {
        if (std::ranges::find(kinds, event->object.kind) != kinds.end()) {
            batch.events.push_back(*event);
        }
    }
    return batch;
}

} // namespace oriolelever::lab
