/**
 * Reads YAML configuration files: {@link petrelplank.yaml.Yaml} parses a file into nodes with their positions, and
 * {@link petrelplank.yaml.Section} gives typed, validated access to a mapping. Errors name file, line, column and rule.
 */
package petrelplank.yaml;
