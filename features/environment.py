"""Nothing is set up beside what each story says."""
