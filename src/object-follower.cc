#include "oriolelever/object-follower.h"

#include <algorithm>
#include <random>

#include <asio/steady_timer.hpp>

namespace oriolelever {

std::chrono::milliseconds followerBackoff(const FollowerOptions &options, int failures, double randomFraction)
{
    constexpr int maxDoublings = 8;
    const auto doubled = options.firstRetryDelay * (1 << std::clamp(failures - 1, 0, maxDoublings));
    const auto longest = std::min<std::chrono::milliseconds>(doubled, options.maxRetryDelay);
    const auto half = longest / 2;
    const auto jitter = static_cast<std::int64_t>(randomFraction * static_cast<double>(half.count()));
    return half + std::chrono::milliseconds(jitter);
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
        api.list(options.kind, [self = shared_from_this()](const Answer<ObjectList> &answer) {
            if (self->isStopped) {
                return;
            }
            if (!answer) {
                self->retry(answer.error(), &State::list);
                return;
            }
            self->handleSuccess();
            self->hasListed = true;
            self->objects.clear();
            for (const auto &object : answer.value().objects) {
                self->objects.insert_or_assign(object.name, object);
            }
            self->revision = answer.value().revision;
            self->events.changed(self->objects);
            self->watch();
        });
    }

    void watch()
    {
        api.watch({options.kind}, revision, options.watchTimeout,
                  [self = shared_from_this()](const Answer<WatchBatch> &answer) {
                      if (self->isStopped) {
                          return;
                      }
                      if (!answer) {
                          self->retry(answer.error(), &State::watch);
                          return;
                      }
                      self->handleSuccess();
                      self->applyBatch(answer.value());
                  });
    }

    void applyBatch(const WatchBatch &batch)
    {
        if (batch.restart || batch.revision < revision) {
            list();
            return;
        }
        for (const auto &event : batch.events) {
            if (event.deleted) {
                objects.erase(event.object.name);
            } else {
                objects.insert_or_assign(event.object.name, event.object);
            }
        }
        revision = batch.revision;
        if (!batch.events.empty()) {
            events.changed(objects);
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

    void retry(const Error &error, void (State::*nextCall)())
    {
        if (++failures == 1) {
            events.availability(false, error.text);
        }
        const double randomFraction = std::uniform_real_distribution<double>(0, 1)(random);
        auto backoff = options;
        if (!hasListed) {
            backoff.maxRetryDelay = options.maxFirstListDelay;
        }
        callAfter(followerBackoff(backoff, failures, randomFraction), nextCall);
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
    std::uint64_t revision = 0; // Of the store, at the last list or watch.
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

void ObjectFollower::retryNow()
{
    m_state->retryNow();
}

void ObjectFollower::start()
{
    m_state->list();
}

} // namespace oriolelever
