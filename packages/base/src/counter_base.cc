/**
 * @file counter_base.cc
 * Registry of counters.
 */
#include "base/counter_base.h"

namespace boragewharf {

Counter& CounterRegistry::Get(std::string_view name,
                              std::string_view labels,
                              MetricKind kind) {
  const std::lock_guard lock(this->mutex);
  auto family = this->families.find(name);
  if (family == this->families.end()) {
    family = this->families.emplace(std::string(name), Family{kind, {}}).first;
  }
  auto& by_labels = family->second.by_labels;
  auto entry = by_labels.find(labels);
  if (entry == by_labels.end()) {
    entry = by_labels.emplace(std::string(labels), std::make_unique<Counter>())
                .first;
  }
  return *entry->second;
}

std::string CounterRegistry::RenderText() const {
  const std::lock_guard lock(this->mutex);
  std::string text;
  for (const auto& [name, family] : this->families) {
    const bool is_gauge = family.kind == MetricKind::kGauge;
    text +=
        "# TYPE boragewharf_" + name + (is_gauge ? " gauge\n" : " counter\n");
    for (const auto& [labels, counter] : family.by_labels) {
      text += "boragewharf_" + name;
      if (!labels.empty()) {
        text += "{" + labels + "}";
      }
      text += " " + std::to_string(counter->Get()) + "\n";
    }
  }
  return text;
}

}  // namespace boragewharf
