/**
 * @file json_reader_base.h
 * Reading of JSON objects that reports all faults of a text in one run.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace boragewharf {

/** One fault of a JSON text. */
struct JsonFault {
  std::string path;     ///< JSON path, e.g. "$.traffic.threads".
  std::string found;    ///< What is there; never a secret.
  std::string allowed;  ///< What may be there.

  auto operator<=>(const JsonFault&) const = default;
};

/** Formats as "PATH: found FOUND, allowed: ALLOWED". @note Thread-safe. */
std::string ToString(const JsonFault& fault);

/** All faults, separated by "; ". @note Thread-safe. */
std::string ToString(const std::vector<JsonFault>& faults);

/**
 * Parses strict JSON: no comments, no repeated keys, no deep nesting.
 * @param faults Receives the fault; it names the place, not the text there,
 *     because that may be a secret.
 * @return Empty optional with kMalformedJson if @p text is not acceptable.
 * @note Thread-safe.
 */
std::optional<nlohmann::json> ParseJson(std::string_view text,
                                        std::vector<JsonFault>& faults);

/** Whether a value may be quoted in a fault. */
enum class Disclosure : uint8_t {
  kShown,   ///< The value is quoted.
  kSecret,  ///< Only type and length are stated.
};

/** Which texts a field accepts. */
struct TextRule {
  std::string allowed;                            ///< For the fault.
  std::function<bool(const std::string&)> holds;  ///< Whether a text is right.
  Disclosure disclosure = Disclosure::kShown;     ///< Whether it is quoted.
};

/** Which numbers a field accepts, bounds included. */
template <class Number>
struct NumberRule {
  Number fallback;  ///< Used where the key is absent.
  Number least;     ///< Lower bound.
  Number most;      ///< Upper bound.
};

/** Text of at least @p least and at most @p most bytes of hexadecimal. */
TextRule HexRule(size_t least, size_t most, Disclosure disclosure);

/**
 * Reads the keys of one JSON object and collects the faults. A reader of
 * something that is not an object returns fallbacks and reports only that.
 * @note Not thread-safe. The JSON value and the list of faults outlive it.
 */
class JsonReader {
 public:
  /** @param value Value at @p path; null if there is none. */
  JsonReader(const nlohmann::json* value,
             std::string path,
             std::vector<JsonFault>& faults);

  /** Whether @p key is present; the key counts as known from then on. */
  bool Has(std::string_view key);

  /** A text that must be there. Empty if it is missing or wrong. */
  std::string Text(std::string_view key, const TextRule& rule);

  /** A text that may be absent. Empty optional if absent or wrong. */
  std::optional<std::string> OptionalText(std::string_view key,
                                          const TextRule& rule);

  /** A whole number, or the fallback if it is absent or wrong. */
  uint64_t Whole(std::string_view key, const NumberRule<uint64_t>& rule);

  /** A whole number that must be there; the fallback if it is not. */
  uint64_t RequiredWhole(std::string_view key,
                         const NumberRule<uint64_t>& rule);

  /** Any number, or the fallback if it is absent or wrong. */
  double Real(std::string_view key, const NumberRule<double>& rule);

  /** true or false, or the fallback if it is absent or wrong. */
  bool Flag(std::string_view key, bool fallback);

  /** An object that must be there. */
  JsonReader RequiredObject(std::string_view key);

  /** An object that may be absent, which reads like an empty one. */
  JsonReader OptionalObject(std::string_view key);

  /**
   * Elements of an array that may be absent.
   * @param least Fewest elements; an absent array has none.
   * @return Pointers that are valid as long as the JSON value.
   */
  std::vector<const nlohmann::json*> Array(std::string_view key,
                                           size_t least,
                                           size_t most);

  /** Texts of an array that may be absent; repeated ones are faults. */
  std::vector<std::string> Texts(std::string_view key,
                                 size_t least,
                                 size_t most,
                                 const TextRule& rule);

  /** Reader of element @p index of the array @p key. */
  JsonReader Element(std::string_view key,
                     size_t index,
                     const nlohmann::json* value);

  /** Reports all keys that were not asked for. Call it last. */
  void RefuseUnknownKeys();

  /** Reports a fault of @p key, or of the object if @p key is empty. */
  void Report(std::string_view key,
              std::string found,
              std::string_view allowed);

  /** JSON path of @p key, or of the object if @p key is empty. */
  std::string PathOf(std::string_view key) const;

 private:
  const nlohmann::json* Find(std::string_view key);
  const nlohmann::json* FindRequired(std::string_view key,
                                     std::string_view allowed);
  std::optional<std::string> CheckText(const nlohmann::json& value,
                                       const std::string& place,
                                       const TextRule& rule);

  const nlohmann::json* object = nullptr;
  std::string path;
  std::vector<JsonFault>* faults;
  std::set<std::string, std::less<>> known;
};

}  // namespace boragewharf
