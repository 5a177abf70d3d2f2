#include "oriolelever/watch.h"

#include <algorithm>

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds firstRetry{200};
constexpr std::chrono::milliseconds longestRetry{10000};
constexpr int maxDoublings = 8;

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

template<typename Entries>
void deleteMissing(const Entries &entries, RecordKind kind, const ObjectList &list,
                   std::vector<Record> &records)
{
    for (const auto &entry : entries) {
        const std::string &name = entry.first;
        const bool listed = std::any_of(list.objects.begin(), list.objects.end(),
                                        [&](const Object &object) { return object.name == name; });
        if (listed || entry.second.version.sequence >= list.revision) {
            continue;
        }
        records.push_back({.key = {kind, name}, .version = {0, list.revision}, .deleted = true});
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
    Record record{.key = {*kind, object.name}, .version = {0, object.version}, .deleted = deleted};
    if (!deleted) {
        record.value = object.value.dump();
    }
    return record;
}

std::vector<Record> recordsOfList(const ClusterView &view, const std::string &kind, const ObjectList &list)
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
        deleteMissing(view.orders, RecordKind::Server, list, records);
        break;
    case RecordKind::Node:
        break;
    }
    return records;
}

std::chrono::milliseconds watchBackoff(int failures, double unit)
{
    const auto doubled = firstRetry * (1 << std::clamp(failures - 1, 0, maxDoublings));
    const auto longest = std::min<std::chrono::milliseconds>(doubled, longestRetry);
    const auto half = longest / 2;
    return half
        + std::chrono::milliseconds(static_cast<std::int64_t>(unit * static_cast<double>(half.count())));
}

PlatformWatch::PlatformWatch(asio::io_context &context, ObjectApi &api, std::chrono::milliseconds wait,
                             Sink sink, std::function<const ClusterView &()> view)
    : m_api(api)
    , m_wait(wait)
    , m_sink(std::move(sink))
    , m_view(std::move(view))
    , m_timer(context)
    , m_random(std::random_device{}())
{
}

void PlatformWatch::start()
{
    m_listed = UINT64_MAX;
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
        m_after = m_listed;
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
        self->m_listed = std::min(self->m_listed, list.revision);
        self->m_sink(recordsOfList(self->m_view(), configurationKinds()[kind], list));
        self->list(kind + 1);
    });
}

void PlatformWatch::watch()
{
    ++m_calls;
    m_api.watch(configurationKinds(), m_after, m_wait,
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
                    if (batch.restart || batch.revision < self->m_after) {
                        watchLog().warn("watch skipped changes, listing again");
                        self->retry([self] { self->start(); });
                        return;
                    }
                    std::vector<Record> records;
                    for (const auto &event : batch.events) {
                        if (auto record = toRecord(event.object, event.deleted)) {
                            records.push_back(std::move(*record));
                        }
                    }
                    self->m_after = batch.revision;
                    self->m_sink(records);
                    self->watch();
                });
}

void PlatformWatch::retry(std::function<void()> again)
{
    ++m_failures;
    const double unit = std::uniform_real_distribution<double>(0, 1)(m_random);
    m_timer.expires_after(watchBackoff(m_failures, unit));
    m_timer.async_wait([self = shared_from_this(), again = std::move(again)](const asio::error_code &error) {
        if (!error && !self->m_stopped) {
            again();
        }
    });
}

} // namespace oriolelever
