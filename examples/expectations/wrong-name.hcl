# A key that does not exist: told with its line and the near name, exit code 2.
expectation "a draining box is left alone" {
  never { target { stat = "terminating" } }
}
