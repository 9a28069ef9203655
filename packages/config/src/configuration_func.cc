/**
 * @file configuration_func.cc
 * Look-up and change of the objects of a configuration.
 */
#include "config/configuration_func.h"

namespace boragewharf::config {

namespace {

/** Calls @p visit with the kind and the map of each kind of object. */
template <class AnyConfiguration, class Visitor>
void VisitKinds(AnyConfiguration& configuration, Visitor visit) {
  visit(ObjectKind::kCustomer, configuration.customers);
  visit(ObjectKind::kService, configuration.services);
  visit(ObjectKind::kModel, configuration.models);
  visit(ObjectKind::kLimits, configuration.limits);
}

template <class Objects>
void SetObjects(ObjectKind kind,
                const Objects& changes,
                const Origin& origin,
                Objects& objects,
                Configuration& after) {
  for (const auto& [name, change] : changes) {
    objects[name] = change;
    objects[name].origin = origin;
    after.removed.erase(ToString(ObjectName{kind, name}));
  }
}

}  // namespace

bool Contains(const Configuration& configuration, const ObjectName& object) {
  bool found = false;
  VisitKinds(configuration, [&](ObjectKind kind, const auto& objects) {
    found |= kind == object.kind && objects.contains(object.name);
  });
  return found;
}

std::vector<ObjectName> ObjectNames(const Configuration& configuration) {
  std::vector<ObjectName> names;
  VisitKinds(configuration, [&names](ObjectKind kind, const auto& objects) {
    for (const auto& [name, object] : objects) {
      names.push_back({kind, name});
    }
  });
  return names;
}

std::optional<Origin> LastChange(const Configuration& configuration,
                                 const ObjectName& object) {
  std::optional<Origin> origin;
  const auto removed = configuration.removed.find(ToString(object));
  if (removed != configuration.removed.end()) {
    origin = removed->second;
  }
  VisitKinds(configuration, [&](ObjectKind kind, const auto& objects) {
    const auto found = objects.find(object.name);
    if (kind == object.kind && found != objects.end()) {
      origin = found->second.origin;
    }
  });
  return origin;
}

Configuration Applied(const Configuration& current, const Ticket& ticket) {
  Configuration after = current;
  after.revision = ConfigRevision{current.revision.value + 1};
  const Origin origin{after.revision, ticket.number};
  const Configuration& set = ticket.set;
  SetObjects(ObjectKind::kCustomer, set.customers, origin, after.customers,
             after);
  SetObjects(ObjectKind::kService, set.services, origin, after.services, after);
  SetObjects(ObjectKind::kModel, set.models, origin, after.models, after);
  SetObjects(ObjectKind::kLimits, set.limits, origin, after.limits, after);
  for (const ObjectName& object : ticket.remove) {
    VisitKinds(after, [&](ObjectKind kind, auto& objects) {
      if (kind == object.kind && objects.erase(object.name) > 0) {
        after.removed[ToString(object)] = origin;
      }
    });
  }
  return after;
}

}  // namespace boragewharf::config
