#include "oriolelever/object-follower.h"

#include <algorithm>
#include <random>
#include <set>

#include <asio/steady_timer.hpp>

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds catchUpRetryDelay{600};

} // namespace

std::chrono::milliseconds followerBackoff(const FollowerOptions &options, int failures, double randomFraction)
{
    constexpr int maxDoublings = 8;
    const auto doubled = options.firstRetryDelay * (1 << std::clamp(failures - 1, 0, maxDoublings));
    const auto longest = std::min<std::chrono::milliseconds>(doubled, options.maxRetryDelay);
    const auto half = longest / 2;
    const auto jitter = static_cast<std::int64_t>(randomFraction * static_cast<double>(half.count()));
    return half + std::chrono::milliseconds(jitter);
}

std::chrono::milliseconds sharedWatchTimeout(std::size_t watchers, std::chrono::milliseconds noticeTime)
{
    const auto usedTime = noticeTime > std::chrono::milliseconds::zero() ? noticeTime : defaultNoticeTime;
    const auto timeout = usedTime * static_cast<std::int64_t>(watchers) / watchEndsInNoticeTime;
    return std::clamp<std::chrono::milliseconds>(timeout, minSharedWatchTimeout, maxSharedWatchTimeout);
}

std::chrono::milliseconds watchWaitAfter(PreviousWatch previous, std::chrono::milliseconds timeout,
                                         double randomFraction)
{
    constexpr double shortestUsualShare = 0.75;
    const double shortest = previous == PreviousWatch::Unchanged ? shortestUsualShare : 0;
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        timeout * (shortest + randomFraction * (1 - shortest)));
}

std::string_view toString(ChangeSource source)
{
    switch (source) {
    case ChangeSource::List:
        return "list";
    case ChangeSource::Watch:
        return "watch";
    case ChangeSource::Peer:
        return "peer";
    }
    return "unknown";
}

struct ObjectFollower::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, ObjectApi &objectApi, FollowerOptions followerOptions,
          Events followerEvents)
        : api(objectApi)
        , options(std::move(followerOptions))
        , events(std::move(followerEvents))
        , timer(context)
        , random(std::random_device{}())
    {
    }

    void list()
    {
        callStart = std::chrono::steady_clock::now();
        api.list(options.kind, [self = shared_from_this()](Answer<ObjectList> answer) {
            if (self->isStopped) {
                return;
            }
            if (!answer) {
                self->retry("list", answer.error(), &State::list);
                return;
            }
            self->handleSuccess();
            self->applyList(std::move(answer).value(), ChangeSource::List);
            self->hasListed = true;
            self->watch();
        });
    }

    void applyList(ObjectList list, ChangeSource listSource)
    {
        source = listSource;
        if (events.eraListed && hasListed && list.position.era != position.era) {
            events.eraListed(describeEra(list));
        }
        objects.clear();
        for (auto &object : list.objects) {
            auto name = object.name;
            objects.insert_or_assign(std::move(name), std::move(object));
        }
        position = list.position;
        notifyChange();
    }

    void notifyChange()
    {
        events.changed(objects);
        if (options.keepsValues) {
            return;
        }
        for (auto &[name, object] : objects) {
            object.value = nullptr;
        }
    }

    EraListing describeEra(const ObjectList &list) const
    {
        EraListing listing{.before = position, .after = list.position, .objects = list.objects.size()};
        std::set<std::string_view> listedNames;
        for (const auto &object : list.objects) {
            listedNames.insert(object.name);
        }
        for (const auto &[name, object] : objects) {
            listing.dropped += listedNames.contains(name) ? 0 : 1;
        }
        return listing;
    }

    void catchUp(StorePosition later)
    {
        if (!hasListed || isCatchingUp || later <= position
            || std::chrono::steady_clock::now() < catchUpNotBefore) {
            return;
        }
        isCatchingUp = true;
        catchUpStart = std::chrono::steady_clock::now();
        api.list(options.kind, [self = shared_from_this(), later](Answer<ObjectList> answer) {
            self->isCatchingUp = false;
            if (!answer) {
                self->catchUpNotBefore = std::chrono::steady_clock::now() + catchUpRetryDelay;
                self->reportFailure("catch_up", self->catchUpStart, answer.error(), catchUpRetryDelay);
            }
            if (self->isStopped || !answer || answer.value().position <= self->position) {
                return;
            }
            self->lastChange = std::max(self->lastChange, later);
            self->applyList(std::move(answer).value(), ChangeSource::Peer);
        });
    }

    void watch()
    {
        const auto usualWait = watchWaitAfter(previousWatch, options.watchTimeout,
                                              std::uniform_real_distribution<double>(0, 1)(random));
        previousWatch = PreviousWatch::Other;
        usedTimeout = failures > 0 ? std::chrono::milliseconds::zero() : options.watchTimeout;
        callStart = std::chrono::steady_clock::now();
        api.watch({options.kind}, position, watchWait(failures, usualWait),
                  [self = shared_from_this(), after = position](Answer<WatchBatch> answer) {
                      if (self->isStopped) {
                          return;
                      }
                      if (!answer) {
                          self->retry("watch", answer.error(), &State::watch);
                          return;
                      }
                      self->handleSuccess();
                      if (answer.value().restart && self->position > after) {
                          // `catchUp` has listed the objects meanwhile.
                          self->watch();
                          return;
                      }
                      self->applyBatch(std::move(answer).value());
                  });
    }

    void applyBatch(WatchBatch batch)
    {
        if (batch.restart || batch.position < position) {
            list();
            return;
        }
        for (auto &event : batch.events) {
            auto name = event.object.name;
            if (event.deleted) {
                objects.erase(name);
            } else {
                objects.insert_or_assign(std::move(name), std::move(event.object));
            }
        }
        position = batch.position;
        if (batch.events.empty() && usedTimeout == options.watchTimeout) {
            previousWatch = PreviousWatch::Unchanged;
        }
        if (!batch.events.empty()) {
            lastChange = position;
            source = ChangeSource::Watch;
            notifyChange();
        }
        watch();
    }

    void handleSuccess()
    {
        if (failures > 0) {
            events.availability(true, options.kind);
        }
        failures = 0;
    }

    void retry(std::string_view call, const Error &error, void (State::*nextCall)())
    {
        if (++failures == 1) {
            events.availability(false, error.text);
        }
        const double randomFraction = std::uniform_real_distribution<double>(0, 1)(random);
        auto backoff = options;
        if (!hasListed) {
            backoff.maxRetryDelay = options.maxFirstListDelay;
        }
        const auto delay = followerBackoff(backoff, failures, randomFraction);
        reportFailure(call, callStart, error, delay);
        callAfter(delay, nextCall);
    }

    void reportFailure(std::string_view call, std::chrono::steady_clock::time_point start, const Error &error,
                       std::chrono::milliseconds delay) const
    {
        if (!events.failed) {
            return;
        }
        const auto waited = std::chrono::steady_clock::now() - start;
        events.failed({.call = call,
                       .waited = std::chrono::duration_cast<std::chrono::milliseconds>(waited),
                       .retryDelay = delay,
                       .failures = failures,
                       .text = error.text});
    }

    void retryNow()
    {
        if (pendingRetry != nullptr) {
            callAfter(std::chrono::milliseconds::zero(), pendingRetry);
        }
    }

    void callAfter(std::chrono::milliseconds delay, void (State::*nextCall)())
    {
        pendingRetry = nextCall;
        timer.expires_after(delay);
        timer.async_wait([self = shared_from_this(), nextCall](const asio::error_code &cancelled) {
            if (!cancelled && !self->isStopped) {
                self->pendingRetry = nullptr;
                ((*self).*nextCall)();
            }
        });
    }

    ObjectApi &api;
    FollowerOptions options;
    Events events;
    asio::steady_timer timer;
    std::minstd_rand random;
    Objects objects;
    StorePosition position; // Of the last list or watch.
    StorePosition lastChange; // When the objects last changed.
    bool isCatchingUp = false;
    std::chrono::steady_clock::time_point catchUpNotBefore{};
    std::chrono::steady_clock::time_point callStart{}; // Of the last list or watch, without `catchUp`.
    std::chrono::steady_clock::time_point catchUpStart{};
    ChangeSource source = ChangeSource::List;
    PreviousWatch previousWatch = PreviousWatch::Other;
    std::chrono::milliseconds usedTimeout{0}; // Of the last watch; zero after a failure, see `watchWait`.
    int failures = 0; // Consecutive failed calls.
    void (State::*pendingRetry)() = nullptr; // Call that waits to be made again.
    bool hasListed = false;
    bool isStopped = false;
};

ObjectFollower::ObjectFollower(asio::io_context &context, ObjectApi &api, FollowerOptions options,
                               Events events)
    : m_state(std::make_shared<State>(context, api, std::move(options), std::move(events)))
{
}

ObjectFollower::~ObjectFollower()
{
    m_state->isStopped = true;
    m_state->timer.cancel();
}

void ObjectFollower::setWatchTimeout(std::chrono::milliseconds timeout)
{
    m_state->options.watchTimeout = timeout;
}

StorePosition ObjectFollower::lastChange() const
{
    return m_state->lastChange;
}

StorePosition ObjectFollower::position() const
{
    return m_state->position;
}

ChangeSource ObjectFollower::changeSource() const
{
    return m_state->source;
}

void ObjectFollower::catchUp(StorePosition position)
{
    m_state->catchUp(position);
}

void ObjectFollower::retryNow()
{
    m_state->retryNow();
}

void ObjectFollower::start()
{
    m_state->list();
}

} // namespace oriolelever
