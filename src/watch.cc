#include "oriolelever/watch.h"

#include <algorithm>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds minRetryDelay{200};
constexpr std::chrono::milliseconds maxRetryDelay{10000};
constexpr int maxDoublings
    = 8; // Keeps the doubled delay from overflowing; `maxRetryDelay` is reached before.

const Log &watchLog()
{
    static const Log instance("watch");
    return instance;
}

std::optional<RecordKind> recordKind(const std::string &kind)
{
    if (kind == "service") {
        return RecordKind::Service;
    }
    if (kind == "zone") {
        return RecordKind::Zone;
    }
    if (kind == "server") {
        return RecordKind::Server;
    }
    return std::nullopt;
}

// Appends deletions of the entries that are older than the list and not in it.
template<typename Entries>
void deleteMissing(const Entries &entries, RecordKind kind, const ObjectList &list,
                   std::vector<Record> &records)
{
    const RecordVersion listVersion{list.position.era, list.position.revision};
    for (const auto &entry : entries) {
        const std::string &name = entry.first;
        const bool listed = std::any_of(list.objects.begin(), list.objects.end(),
                                        [&](const Object &object) { return object.name == name; });
        if (listed || entry.second.version >= listVersion) {
            continue;
        }
        records.push_back({.key = {kind, name}, .version = listVersion, .deleted = true});
    }
}

} // namespace

std::vector<std::string> configurationKinds()
{
    return {"service", "zone", "server"};
}

std::optional<Record> toRecord(const Object &object, bool deleted)
{
    const auto kind = recordKind(object.kind);
    if (!kind) {
        return std::nullopt;
    }
    Record record{.key = {*kind, object.name}, .version = {object.era, object.version}, .deleted = deleted};
    if (!deleted) {
        record.value = object.value.dump();
    }
    return record;
}

std::vector<Record> makeListRecords(const ClusterView &view, const std::string &kind, const ObjectList &list)
{
    std::vector<Record> records;
    for (const auto &object : list.objects) {
        if (auto record = toRecord(object, false)) {
            records.push_back(std::move(*record));
        }
    }
    switch (recordKind(kind).value_or(RecordKind::Node)) {
    case RecordKind::Service:
        deleteMissing(view.services, RecordKind::Service, list, records);
        break;
    case RecordKind::Zone:
        deleteMissing(view.zones, RecordKind::Zone, list, records);
        break;
    case RecordKind::Server:
        deleteMissing(view.serverRows, RecordKind::Server, list, records);
        break;
    case RecordKind::Node:
        break;
    }
    return records;
}

std::chrono::milliseconds watchBackoff(int failures, double jitter)
{
    const auto doubled = minRetryDelay * (1 << std::clamp(failures - 1, 0, maxDoublings));
    const auto longest = std::min<std::chrono::milliseconds>(doubled, maxRetryDelay);
    const auto half = longest / 2;
    return half
        + std::chrono::milliseconds(static_cast<std::int64_t>(jitter * static_cast<double>(half.count())));
}

PlatformWatch::PlatformWatch(asio::io_context &context, ObjectApi &api,
                             std::chrono::milliseconds watchTimeout, Sink sink,
                             std::function<const ClusterView &()> view)
    : m_api(api)
    , m_watchTimeout(watchTimeout)
    , m_sink(std::move(sink))
    , m_view(std::move(view))
    , m_timer(context)
    , m_random(std::random_device{}())
{
}

void PlatformWatch::start()
{
    m_listedPosition = {.era = UINT64_MAX, .revision = UINT64_MAX};
    list(0);
}

void PlatformWatch::stop()
{
    m_stopped = true;
    m_timer.cancel();
}

void PlatformWatch::list(std::size_t kind)
{
    const auto kinds = configurationKinds();
    if (kind == kinds.size()) {
        m_lastPosition = m_listedPosition;
        watch();
        return;
    }
    ++m_calls;
    m_api.list(kinds[kind], [self = shared_from_this(), kind](const Answer<ObjectList> &answer) {
        if (self->m_stopped) {
            return;
        }
        if (!answer) {
            self->retry([self, kind] { self->list(kind); });
            return;
        }
        self->m_failures = 0;
        const auto &list = answer.value();
        self->m_listedPosition = std::min(self->m_listedPosition, list.position);
        self->m_sink(makeListRecords(self->m_view(), configurationKinds()[kind], list));
        self->list(kind + 1);
    });
}

void PlatformWatch::watch()
{
    ++m_calls;
    m_api.watch(configurationKinds(), m_lastPosition, watchWait(m_failures, m_watchTimeout),
                [self = shared_from_this()](const Answer<WatchBatch> &answer) {
                    if (self->m_stopped) {
                        return;
                    }
                    if (!answer) {
                        self->retry([self] { self->watch(); });
                        return;
                    }
                    self->m_failures = 0;
                    const auto &batch = answer.value();
                    if (batch.restart || batch.position < self->m_lastPosition) {
                        watchLog().warn("platform skipped changes of the watch; listing all rows again");
                        self->retry([self] { self->start(); });
                        return;
                    }
                    std::vector<Record> records;
                    for (const auto &event : batch.events) {
                        if (auto record = toRecord(event.object, event.deleted)) {
                            records.push_back(std::move(*record));
                        }
                    }
                    self->m_lastPosition = batch.position;
                    self->m_sink(records);
                    self->watch();
                });
}

void PlatformWatch::retry(std::function<void()> operation)
{
    ++m_failures;
    const double jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_timer.expires_after(watchBackoff(m_failures, jitter));
    m_timer.async_wait(
        [self = shared_from_this(), operation = std::move(operation)](const asio::error_code &error) {
            if (!error && !self->m_stopped) {
                operation();
            }
        });
}

} // namespace oriolelever
